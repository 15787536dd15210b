package worker

import "context"

// Lanes is a pool of workers that keeps the order of jobs with the same key:
// each worker has a queue of its own.
type Lanes[T any] struct {
	pools []*Pool[T]
}

// NewLanes starts workers that call work for each job. Length is the length
// of each queue.
func NewLanes[T any](workers, length int, work func(context.Context, T)) *Lanes[T] {
	l := &Lanes[T]{}
	for range workers {
		l.pools = append(l.pools, New(1, length, work))
	}
	return l
}

// Put queues a job behind the others with its key.
func (l *Lanes[T]) Put(key uint64, job T) error {
	return l.pools[key%uint64(len(l.pools))].Put(job)
}

// Close ends the workers after the jobs that they are doing.
func (l *Lanes[T]) Close() {
	for _, p := range l.pools {
		p.Close()
	}
}
