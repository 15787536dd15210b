// Package worker provides worker pools with bounded queues and a scheduler of
// periodic jobs.
package worker

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// Pool runs jobs on a fixed number of workers, which share a bounded queue.
type Pool[T any] struct {
	jobs   chan T
	work   func(context.Context, T)
	wg     sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

// ErrClosed reports that a job was submitted to a closed pool.
var ErrClosed = errors.New("worker pool is closed")

// New starts workers that call work for each job. The queue holds up to
// queueLength jobs.
func New[T any](workers, queueLength int, work func(context.Context, T)) *Pool[T] {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool[T]{jobs: make(chan T, queueLength), work: work, cancel: cancel, ctx: ctx}
	p.wg.Add(workers)
	for range workers {
		go p.run()
	}
	return p
}

func (p *Pool[T]) run() {
	defer p.wg.Done()
	for {
		select {
		case <-p.ctx.Done():
			return
		case job := <-p.jobs:
			_ = Protect(func() { p.work(p.ctx, job) })
		}
	}
}

// Submit queues a job. It blocks while the queue is full. Once the pool has been
// closed, it returns ErrClosed or queues a job that is never run.
func (p *Pool[T]) Submit(job T) error {
	select {
	case <-p.ctx.Done():
		return ErrClosed
	case p.jobs <- job:
		return nil
	}
}

// TrySubmit queues a job unless the queue is full, and reports whether it did. A
// job queued once the pool has been closed is never run.
func (p *Pool[T]) TrySubmit(job T) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// Close cancels the context of the running jobs, waits for them and stops the
// workers. Queued jobs may be dropped.
func (p *Pool[T]) Close() {
	p.cancel()
	p.wg.Wait()
}
