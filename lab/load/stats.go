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

// Range in microseconds and number of significant digits of the histograms.
const (
	minMicros = 1
	maxMicros = 120_000_000
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, digits) }

// phaseStats are the figures of one phase. skew is the largest quotient of the
// highest and the mean load of the engines in any of the samples.
type phaseStats struct {
	phase
	mu           sync.Mutex
	firstToken   *hdrhistogram.Histogram
	promptTokens int
	cachedTokens int
	sent         int
	skipped      int
	errorCodes   map[string]int
	skew         float64
	samples      int
}

func newPhaseStats(p phase) *phaseStats {
	return &phaseStats{phase: p, firstToken: newHistogram(), errorCodes: map[string]int{}}
}

// addSkipped counts a request that was not sent because no idle chat was found.
func (s *phaseStats) addSkipped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// addResult counts a request that was sent and records its outcome.
func (s *phaseStats) addResult(res result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if !res.Complete {
		s.errorCodes[res.Code]++
		return
	}
	_ = s.firstToken.RecordValue(max(res.FirstToken.Microseconds(), 1))
	s.promptTokens += res.PromptTokens
	s.cachedTokens += res.CachedTokens
}

// print prints the figures, one per line.
func (s *phaseStats) print(w workload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix := func(name string) string {
		return fmt.Sprintf("%s policy=%s phase=%s seed=%d routers=%d engines=%d rate=%g",
			name, w.Policy, s.Name, w.Seed, len(w.Targets), len(w.Engines), w.Rate)
	}
	if s.promptTokens > 0 {
		fmt.Printf("%s value=%.4f\n", prefix("reuse"), float64(s.cachedTokens)/float64(s.promptTokens))
	}
	for _, q := range []float64{50, 95, 99} {
		fmt.Printf("%s quantile=%.2f value=%.2f\n", prefix("first_token_ms"), q/100, float64(s.firstToken.ValueAtQuantile(q))/1000)
	}
	if s.samples > 0 {
		fmt.Printf("%s samples=%d value=%.3f\n", prefix("skew"), s.samples, s.skew)
	}
	fmt.Printf("%s sent=%d skipped=%d value=%d\n", prefix("failed"), s.sent, s.skipped, s.failures())
	if len(s.errorCodes) > 0 {
		fmt.Printf("# %s codes %s\n", s.Name, s.formatCodes())
	}
}

func (s *phaseStats) failures() int {
	n := 0
	for _, count := range s.errorCodes {
		n += count
	}
	return n
}

func (s *phaseStats) formatCodes() string {
	var parts []string
	for code, n := range s.errorCodes {
		parts = append(parts, fmt.Sprintf("%s=%d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

const (
	// sampleInterval is the time between two samples of the engines' load.
	sampleInterval = 50 * time.Millisecond
	// minMeanLoad is the mean number of running requests per engine below which a
	// sample is ignored: with so few requests, the highest load is far above the
	// mean merely because loads are whole numbers.
	minMeanLoad = 4
)

// sampleSkew samples the load of engines until the returned function is called,
// and records the highest skew in stats.
func sampleSkew(engines []string, stats *phaseStats) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(sampleInterval)
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
	total, highest := 0, 0
	for _, address := range engines {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/_stats", time.Second)
		var load struct {
			Running int `json:"running"`
		}
		if err != nil || json.Unmarshal(body, &load) != nil {
			continue
		}
		total += load.Running
		highest = max(highest, load.Running)
	}
	mean := float64(total) / float64(len(engines))
	if mean < minMeanLoad {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	s.skew = max(s.skew, float64(highest)/mean)
}
