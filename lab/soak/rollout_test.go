package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/runner"
	"camphorpulley.org/lab/soak/store"
)

// rolloutCase is a roll-out among real processes.
type rolloutCase struct {
	name string
	// mode is how the runners of the new version handle requests.
	mode runner.Mode
	// duration is that of the order in seconds.
	duration float64
	// fault is what the store does from the order on.
	fault store.Fault
	want  string
}

// TestRollout orders roll-outs of a good and of a bad version among router processes. It guards
// against parts that don't fit together: settings, orders, messages, samples of real answers
// and statuses in the store. It checks no times but the deadline, and no shares.
func TestRollout(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	program := filepath.Join(t.TempDir(), "platform")
	if out, err := exec.Command("go", "build", "-o", program, "camphorpulley.org/platform").CombinedOutput(); err != nil {
		t.Fatalf("build the router: %v\n%s", err, out)
	}
	for _, c := range []rolloutCase{
		{name: "good", mode: runner.Healthy, duration: 12, want: "completed"},
		{name: "bad", mode: runner.Failing, duration: 12, want: "rolled_back"},
		{name: "answers-lost", mode: runner.Failing, duration: 12, fault: store.ResponseLost, want: "rolled_back"},
		{name: "invalid", mode: runner.Healthy, duration: -1, want: "rolled_back"},
	} {
		t.Run(c.name, func(t *testing.T) { runRollout(t, program, c) })
	}
}

func runRollout(t *testing.T, program string, c rolloutCase) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &soak{
		options: options{seed: 1, routers: 4, callers: 16, program: program, dir: t.TempDir(), rollouts: true},
		ctx:     ctx, log: zap.NewNop(), ledger: &ledger.Ledger{}, store: &store.Store{},
	}
	defer s.wg.Wait()
	defer cancel()
	if err := s.start(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range s.callers {
		caller := &caller{soak: s, name: fmt.Sprintf("c%d", i+1), random: rand.New(rand.NewPCG(1, uint64(i)))}
		s.wg.Go(func() { caller.run(ctx) })
	}
	sleep(ctx, settleTime)
	s.store.SetFault(c.fault)
	s.store.Put("keyed.op", "rollout/apps-a", fmt.Appendf(nil, `{"service":"apps-a","target":"v9","duration_s":%g}`, c.duration))
	for i := range 2 * appsPerZone {
		r, err := runner.Start(runner.Config{ID: fmt.Sprintf("i-new-%d", i), Pool: "apps-a", Zone: zones[i%len(zones)], Slots: appSlots, Release: "v9"}, s.store, s.ledger)
		if err != nil {
			t.Fatal(err)
		}
		r.SetMode(c.mode)
	}
	state := awaitStatus(s, time.Now().Add(time.Duration(max(c.duration, 2)*float64(time.Second))))
	if state != c.want {
		t.Errorf("status at the deadline: got %q, want %q", state, c.want)
	}
	for _, r := range s.routers {
		t.Logf("router %s: %s", r.id, rolloutOf(r))
	}
}

// awaitStatus returns the state of the roll-out once it is final, or at a time.
func awaitStatus(s *soak, deadline time.Time) string {
	var status struct {
		State string `json:"state"`
	}
	for time.Now().Before(deadline) {
		if text := s.store.Newest("keyed.status", "rollout/apps-a"); text != nil {
			if err := json.Unmarshal(text, &status); err != nil {
				return err.Error()
			}
		}
		if status.State != "" && status.State != "running" {
			return status.State
		}
		time.Sleep(checkInterval / 10)
	}
	return status.State
}

// rolloutOf returns what a router's status says of its roll-outs.
func rolloutOf(r *router) string {
	resp, err := http.Get("http://" + r.statusAddress + "/status")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Rollouts json.RawMessage `json:"rollouts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return err.Error()
	}
	return string(status.Rollouts)
}
