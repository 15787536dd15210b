package worker

import "context"

// KeyedPool runs jobs on a fixed number of workers and keeps the order of jobs
// with the same key: each worker has its own queue, and the key selects it.
type KeyedPool[T any] struct {
	pools []*Pool[T]
}

// NewKeyedPool starts workers that call work for each job. The queue of each
// worker holds up to queueLength jobs.
func NewKeyedPool[T any](workers, queueLength int, work func(context.Context, T)) *KeyedPool[T] {
	k := &KeyedPool[T]{}
	for range workers {
		k.pools = append(k.pools, New(1, queueLength, work))
	}
	return k
}

// Submit queues a job behind earlier jobs with the same key. It blocks while the
// queue is full. Once the pool has been closed, it returns ErrClosed or queues a
// job that is never run.
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
