package rollout

import (
	"testing"
	"time"
)

// BenchmarkVerdict measures a verdict on 17 s of samples of 388 routers, of which those of the
// last second are new.
func BenchmarkVerdict(b *testing.B) {
	s := &rollOut{routers: 388, old: 140, rate: 600, duration: 17 * time.Second, stream: 10 * time.Second, version: trouble{factor: 4}}
	s.run(1)
	b.ReportAllocs()
	for b.Loop() {
		last := s.trial.slots[len(s.trial.slots)-1]
		last.sum = nil
		s.trial.judge(s.now)
	}
}
