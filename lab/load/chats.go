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

// phase is a part of a run.
type phase struct {
	Name   string
	Length time.Duration
}

func parsePhases(texts []string) ([]phase, error) {
	var phases []phase
	for _, text := range texts {
		name, length, ok := strings.Cut(text, "=")
		d, err := time.ParseDuration(length)
		if !ok || err != nil || d <= 0 {
			return nil, errors.Errorf("phase %q is not of the form NAME=DURATION", text)
		}
		phases = append(phases, phase{name, d})
	}
	return phases, nil
}

// workload is a run of chats.
type workload struct {
	Targets, Engines, Tokens []string
	Model, Policy            string
	Phases                   []phase
	Rate                     float64
	Chats, Words             int
	AnswerTokens             int
	Seed                     uint64
}

// check refuses load to other machines, and load without bounds.
func (w workload) check() error {
	for _, address := range append(append([]string{}, w.Targets...), w.Engines...) {
		if !strings.HasPrefix(address, "127.") {
			return errors.Errorf("%s is not an address of this machine", address)
		}
	}
	if w.Rate <= 0 || w.Rate > 20000 || w.Chats < 1 {
		return errors.Errorf("rate %v or number of chats %d is out of bounds", w.Rate, w.Chats)
	}
	return nil
}

// chat is one chat with its history. A turn begins once the last one has
// ended.
type chat struct {
	key     string
	token   string
	busy    bool
	history []message
}

// maxHistory is the number of messages after which a chat begins anew.
const maxHistory = 16

type runner struct {
	workload
	client *fasthttp.Client
	mu     sync.Mutex
	rand   *rand.Rand
	chats  []*chat
	stats  []*phaseStats
	wg     sync.WaitGroup
}

// run sends the load of all phases and prints their figures.
func (w workload) run(now time.Time) {
	r := &runner{workload: w, client: newClient(), rand: rand.New(rand.NewPCG(w.Seed, 0))}
	for i := range w.Chats {
		r.chats = append(r.chats, r.newChat(i))
	}
	for _, p := range w.Phases {
		stats := newPhaseStats(p)
		r.stats = append(r.stats, stats)
		stop := sampleSkew(w.Engines, stats)
		r.phase(now, p, stats)
		stop()
		now = now.Add(p.Length)
	}
	r.wg.Wait()
	for _, s := range r.stats {
		s.print(w)
	}
}

// newChat returns a chat of one of the accounts; the first account has a
// third of the chats.
func (r *runner) newChat(i int) *chat {
	token := r.Tokens[0]
	if i%3 != 0 {
		token = r.Tokens[i%len(r.Tokens)]
	}
	return &chat{key: fmt.Sprintf("chat-%d-%d", r.Seed, i), token: token}
}

// phase sends requests at the rate until the phase ends.
func (r *runner) phase(begun time.Time, p phase, stats *phaseStats) {
	interval := time.Duration(float64(time.Second) / r.Rate)
	for at := begun; at.Before(begun.Add(p.Length)); at = at.Add(interval) {
		time.Sleep(time.Until(at))
		c, target := r.pick()
		if c == nil {
			stats.skip()
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.turn(c, target, stats)
		}()
	}
}

// pick chooses a chat that is not busy, some far more often than others, and
// the router to which the balancer brings it.
func (r *runner) pick() (*chat, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.Targets[r.rand.IntN(len(r.Targets))]
	for range 20 {
		// The square prefers low numbers, as a few chats are the busiest.
		x := r.rand.Float64()
		c := r.chats[int(x*x*float64(len(r.chats)))]
		if !c.busy {
			c.busy = true
			r.extend(c)
			return c, target
		}
	}
	return nil, target
}

// extend adds a caller's message to a chat.
func (r *runner) extend(c *chat) {
	if len(c.history) >= maxHistory {
		c.history = nil
	}
	var text strings.Builder
	for range r.Words {
		fmt.Fprintf(&text, "%04x ", r.rand.IntN(1<<16))
	}
	c.history = append(c.history, message{Role: "user", Content: text.String()})
}

func (r *runner) turn(c *chat, target string, stats *phaseStats) {
	res := send(r.client, target, c.token, request{
		Model: r.Model, Messages: c.history, Stream: true, MaxTokens: r.AnswerTokens, CacheKey: c.key,
	})
	stats.add(res)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.busy = false
	if !res.Whole {
		c.history = c.history[:len(c.history)-1]
		return
	}
	c.history = append(c.history, message{Role: "assistant", Content: res.Answer})
}
