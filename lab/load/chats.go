package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// phase is a named period of a run with figures of its own.
type phase struct {
	Name     string
	Duration time.Duration
}

func parsePhases(texts []string) ([]phase, error) {
	var phases []phase
	for _, text := range texts {
		name, duration, ok := strings.Cut(text, "=")
		d, err := time.ParseDuration(duration)
		if !ok || err != nil || d <= 0 {
			return nil, errors.Errorf("phase %q is not NAME=DURATION with a positive duration", text)
		}
		phases = append(phases, phase{name, d})
	}
	return phases, nil
}

// workload is the configuration of a run.
type workload struct {
	// Targets are the addresses of the routers, Engines those of the engines whose
	// load is sampled.
	Targets, Engines []string
	// BearerTokens are the tokens of the client accounts.
	BearerTokens []string
	Model        string
	// Policy is only printed with the figures.
	Policy string
	Phases []phase
	// Rate is the number of requests per second.
	Rate  float64
	Chats int
	// MessageWords is the number of words in each user message, MaxTokens that of
	// tokens in each completion.
	MessageWords, MaxTokens int
	Seed                    uint64
}

// validate returns an error unless all addresses are loopback addresses, the
// rate is in (0, 20000] and there is at least one chat.
func (w workload) validate() error {
	for _, address := range append(append([]string{}, w.Targets...), w.Engines...) {
		if !strings.HasPrefix(address, "127.") {
			return errors.Errorf("address %s is not in 127.0.0.0/8", address)
		}
	}
	if w.Rate <= 0 || w.Rate > 20000 || w.Chats < 1 {
		return errors.Errorf("rate %v is not in (0, 20000] or number of chats %d is below 1", w.Rate, w.Chats)
	}
	return nil
}

// chat is one chat with its history. Its next request is sent only once the
// previous one has ended; busy is true while a request is open.
type chat struct {
	key     string
	token   string
	busy    bool
	history []message
}

// maxHistory is the number of messages after which a chat starts over with an
// empty history.
const maxHistory = 16

// workloadRun is one run of a workload.
type workloadRun struct {
	workload
	client *fasthttp.Client
	mu     sync.Mutex
	rand   *rand.Rand
	chats  []*chat
	stats  []*phaseStats
	wg     sync.WaitGroup
}

// run sends the requests of all phases, waits for the last response and prints
// the figures of each phase.
func (w workload) run(now time.Time) {
	r := &workloadRun{workload: w, client: newClient(), rand: rand.New(rand.NewPCG(w.Seed, 0))}
	for i := range w.Chats {
		r.chats = append(r.chats, r.newChat(i))
	}
	for _, p := range w.Phases {
		stats := newPhaseStats(p)
		r.stats = append(r.stats, stats)
		stop := sampleSkew(w.Engines, stats)
		r.runPhase(now, p, stats)
		stop()
		now = now.Add(p.Duration)
	}
	r.wg.Wait()
	for _, s := range r.stats {
		s.print(w)
	}
}

// newChat returns chat i with the token of an account. Every third chat belongs
// to the first account; the others are spread over all accounts.
func (r *workloadRun) newChat(i int) *chat {
	token := r.BearerTokens[0]
	if i%3 != 0 {
		token = r.BearerTokens[i%len(r.BearerTokens)]
	}
	return &chat{key: fmt.Sprintf("chat-%d-%d", r.Seed, i), token: token}
}

// runPhase sends requests at the given rate until the phase ends. It counts a
// request as skipped if no idle chat is found for it.
func (r *workloadRun) runPhase(start time.Time, p phase, stats *phaseStats) {
	interval := time.Duration(float64(time.Second) / r.Rate)
	for at := start; at.Before(start.Add(p.Duration)); at = at.Add(interval) {
		time.Sleep(time.Until(at))
		c, target := r.pick()
		if c == nil {
			stats.addSkipped()
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendTurn(c, target, stats)
		}()
	}
}

// pick chooses an idle chat, some far more often than others, and the router to
// which the platform's load balancer sends its next request. It marks the chat
// as busy. The chat is nil if 20 draws found none idle.
func (r *workloadRun) pick() (*chat, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.Targets[r.rand.IntN(len(r.Targets))]
	for range 20 {
		// The square favours low indexes: a few chats send most requests.
		x := r.rand.Float64()
		c := r.chats[int(x*x*float64(len(r.chats)))]
		if !c.busy {
			c.busy = true
			r.addUserMessage(c)
			return c, target
		}
	}
	return nil, target
}

// addUserMessage appends a user message of random words to a chat.
func (r *workloadRun) addUserMessage(c *chat) {
	if len(c.history) >= maxHistory {
		c.history = nil
	}
	var text strings.Builder
	for range r.MessageWords {
		fmt.Fprintf(&text, "%04x ", r.rand.IntN(1<<16))
	}
	c.history = append(c.history, message{Role: "user", Content: text.String()})
}

// sendTurn sends the next request of a chat and appends the response to its
// history. If the request fails, it removes the user message instead.
func (r *workloadRun) sendTurn(c *chat, target string, stats *phaseStats) {
	res := send(r.client, target, c.token, request{
		Model: r.Model, Messages: c.history, Stream: true, MaxTokens: r.MaxTokens, CacheKey: c.key,
	})
	stats.addResult(res)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.busy = false
	if !res.Complete {
		c.history = c.history[:len(c.history)-1]
		return
	}
	c.history = append(c.history, message{Role: "assistant", Content: res.Content})
}
