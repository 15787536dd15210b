package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

// overheadTest compares the time to first token through a router with that of an
// engine called directly. Requests alternate between the two, so that other load
// on the machine affects both alike.
type overheadTest struct {
	Target, Engine, Token, Model string
	// Rate is the number of requests per second to each of the two.
	Rate     float64
	Duration time.Duration
}

func (o overheadTest) run() error {
	if !strings.HasPrefix(o.Target, "127.") || !strings.HasPrefix(o.Engine, "127.") || o.Rate <= 0 {
		return errors.New("target and engine must be addresses in 127.0.0.0/8, and the rate above 0")
	}
	routed, direct := newHistogram(), newHistogram()
	client := newClient()
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	interval := time.Duration(float64(time.Second) / o.Rate / 2)
	startedAt := time.Now()
	for i := 0; ; i++ {
		at := startedAt.Add(time.Duration(i) * interval)
		if at.Sub(startedAt) > o.Duration {
			break
		}
		time.Sleep(time.Until(at))
		address, histogram := o.Target, routed
		if i%2 == 1 {
			address, histogram = o.Engine, direct
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := send(client, address, o.Token, request{
				Model: o.Model, Stream: true, MaxTokens: 1, CacheKey: "overhead",
				Messages: []message{{Role: "user", Content: "overhead"}},
			})
			mu.Lock()
			defer mu.Unlock()
			if !res.Complete {
				failed++
				return
			}
			_ = histogram.RecordValue(max(res.FirstToken.Microseconds(), 1))
		}()
	}
	wg.Wait()
	o.print(routed, direct, failed)
	return nil
}

func (o overheadTest) print(routed, direct *hdrhistogram.Histogram, failed int) {
	for _, q := range []float64{50, 99} {
		r, d := routed.ValueAtQuantile(q), direct.ValueAtQuantile(q)
		fmt.Printf("overhead policy=fleet quantile=%.2f rate=%g samples=%d failed=%d routed_ms=%.3f direct_ms=%.3f value=%.3f\n",
			q/100, o.Rate, routed.TotalCount(), failed, float64(r)/1000, float64(d)/1000, float64(r-d)/1000)
	}
}
