package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// Range of the histograms, in microseconds.
const (
	lowest  = 1
	highest = 120_000_000
	figures = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, figures) }

// phaseStats are the figures of one phase.
type phaseStats struct {
	phase
	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	prompt  int
	cached  int
	sent    int
	skipped int
	codes   map[string]int
	skew    float64
	samples int
}

func newPhaseStats(p phase) *phaseStats {
	return &phaseStats{phase: p, first: newHistogram(), codes: map[string]int{}}
}

func (s *phaseStats) skip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// add counts a request.
func (s *phaseStats) add(res result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if !res.Whole {
		s.codes[res.Code]++
		return
	}
	_ = s.first.RecordValue(max(res.FirstToken.Microseconds(), 1))
	s.prompt += res.Prompt
	s.cached += res.Cached
}

// print prints the figures, one measure a line.
func (s *phaseStats) print(w workload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := func(measure string) string {
		return fmt.Sprintf("%s policy=%s phase=%s seed=%d routers=%d engines=%d rate=%g",
			measure, w.Policy, s.Name, w.Seed, len(w.Targets), len(w.Engines), w.Rate)
	}
	if s.prompt > 0 {
		fmt.Printf("%s value=%.4f\n", head("reuse"), float64(s.cached)/float64(s.prompt))
	}
	for _, q := range []float64{50, 95, 99} {
		fmt.Printf("%s quantile=%.2f value=%.2f\n", head("first_token_ms"), q/100, float64(s.first.ValueAtQuantile(q))/1000)
	}
	if s.samples > 0 {
		fmt.Printf("%s samples=%d value=%.3f\n", head("skew"), s.samples, s.skew)
	}
	fmt.Printf("%s sent=%d skipped=%d value=%d\n", head("failed"), s.sent, s.skipped, s.failures())
	if len(s.codes) > 0 {
		fmt.Printf("# %s codes %s\n", s.Name, s.codeText())
	}
}

func (s *phaseStats) failures() int {
	n := 0
	for _, count := range s.codes {
		n += count
	}
	return n
}

func (s *phaseStats) codeText() string {
	var parts []string
	for code, n := range s.codes {
		parts = append(parts, fmt.Sprintf("%s=%d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

const (
	// samplePause is the time between two samples of the engines' load.
	samplePause = 50 * time.Millisecond
	// leastMean is the mean load below which a sample says nothing: whole
	// numbers alone make the greatest far larger than the mean.
	leastMean = 4
)

// sampleSkew samples the load of engines until the returned function is
// called. It keeps the highest quotient of the greatest load and the mean.
func sampleSkew(engines []string, stats *phaseStats) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(samplePause)
		defer ticker.Stop()
		for len(engines) > 0 {
			select {
			case <-stop:
				return
			case <-ticker.C:
				stats.sample(engines)
			}
		}
	}()
	return func() {
		close(stop)
		wg.Wait()
	}
}

func (s *phaseStats) sample(engines []string) {
	total, most := 0, 0
	for _, address := range engines {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/_stats", time.Second)
		var load struct {
			Running int `json:"running"`
		}
		if err != nil || json.Unmarshal(body, &load) != nil {
			continue
		}
		total += load.Running
		most = max(most, load.Running)
	}
	mean := float64(total) / float64(len(engines))
	if mean < leastMean {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	s.skew = max(s.skew, float64(most)/mean)
}
