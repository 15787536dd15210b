package worker

import "context"

// KeyedPool runs jobs on a fixed number of workers and keeps the order of jobs
// with the same key: each worker has its own queue, and the key selects it.
type KeyedPool[T any] struct {
	pools []*Pool[T]
}

// NewKeyedPool starts workers that call work for each job. Length is the
// capacity of each worker's queue, in jobs.
func NewKeyedPool[T any](workers, length int, work func(context.Context, T)) *KeyedPool[T] {
	k := &KeyedPool[T]{}
	for range workers {
		k.pools = append(k.pools, New(1, length, work))
	}
	return k
}

// Submit queues a job behind earlier jobs with the same key. It blocks while
// the queue is full, and returns ErrClosed once the pool has been closed.
func (k *KeyedPool[T]) Submit(key uint64, job T) error {
	return k.pools[key%uint64(len(k.pools))].Submit(job)
}

// Close cancels the context of the running jobs, waits for them and stops the
// workers. Queued jobs may be dropped.
func (k *KeyedPool[T]) Close() {
	for _, p := range k.pools {
		p.Close()
	}
}
