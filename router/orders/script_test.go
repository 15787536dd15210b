package orders

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/core"
	"camphorpulley.org/core/order"
)

// world is a service and a log that is away at times.
type world struct {
	service *Service
	mu      sync.Mutex
	away    bool
	offset  core.Offset
	// claims and results count the entries in the log.
	claims, results int
}

var errAway = errors.New("log is away")

// Append implements Appender. The service reads a record at once.
func (w *world) Append(_ string, data []byte) (core.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return 0, errAway
	}
	entry, err := record.Decode[record.Orders](data)
	if err != nil {
		return 0, err
	}
	w.claims += len(entry.Claims)
	w.results += len(entry.Results)
	w.offset++
	w.service.ApplyRecord(time.Now(), logservice.Record{Offset: w.offset, Data: data})
	return w.offset, nil
}

type worldKey struct{}

// TestScripts runs the scripts in testdata. Each drives the service of one router, which
// appends to a log that is away at times. Commands are log away or back; claim KEY D, which
// gives up after D; finish KEY, of an order; and logged CLAIMS RESULTS, which waits for so many
// results in the log and checks how many claims it has.
func TestScripts(t *testing.T) {
	all := map[string]func(*testscript.TestScript, *world, []string){
		"log": func(_ *testscript.TestScript, w *world, a []string) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.away = a[0] == "away"
		},
		"claim": func(ts *testscript.TestScript, w *world, a []string) {
			d, err := time.ParseDuration(a[1])
			ts.Check(err)
			ctx, cancel := context.WithTimeout(context.Background(), d)
			defer cancel()
			if _, got := w.service.Claim(ctx, order.NewKey("a", a[0]), 1); got.Step != order.Refuse {
				ts.Fatalf("claim on %s: got step %v, want a refusal", a[0], got.Step)
			}
		},
		"finish": func(_ *testscript.TestScript, w *world, a []string) {
			w.service.Finish(order.Claim{Key: order.NewKey("a", a[0]), Router: "r1"}, order.Result{Status: 200})
		},
		"logged": cmdLogged,
	}
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		cmds[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			w, ok := ts.Value(worldKey{}).(*world)
			if !ok {
				ts.Fatalf("script has no world")
			}
			run(ts, w, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := &world{}
			w.service = New("r1", 1, w, zap.NewNop())
			env.Values[worldKey{}] = w
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				for ctx.Err() == nil {
					w.service.AppendBatch(ctx)
				}
			}()
			env.Defer(cancel)
			return nil
		},
		Cmds: cmds,
	})
}

func cmdLogged(ts *testscript.TestScript, w *world, a []string) {
	want := a[0] + " claims, " + a[1] + " results"
	var got string
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		got = strconv.Itoa(w.claims) + " claims, " + strconv.Itoa(w.results) + " results"
		w.mu.Unlock()
		if got == want {
			return
		}
	}
	ts.Fatalf("log: got %s, want %s", got, want)
}
