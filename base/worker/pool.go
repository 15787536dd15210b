// Package worker holds the pool of workers that does the work of a process.
package worker

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// Pool runs jobs on a fixed number of workers, which wait on a channel. Jobs
// that are put while the queue is full make the putter wait.
type Pool[T any] struct {
	jobs   chan T
	work   func(context.Context, T)
	wg     sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

// ErrClosed is returned by Put after the pool has been closed.
var ErrClosed = errors.New("worker pool is closed")

// New starts workers that call work for each job. Length is the length of the
// queue.
func New[T any](workers, length int, work func(context.Context, T)) *Pool[T] {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool[T]{jobs: make(chan T, length), work: work, cancel: cancel, ctx: ctx}
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
			p.work(p.ctx, job)
		}
	}
}

// Put queues a job. It waits while the queue is full.
func (p *Pool[T]) Put(job T) error {
	select {
	case <-p.ctx.Done():
		return ErrClosed
	case p.jobs <- job:
		return nil
	}
}

// Try queues a job if the queue has room.
func (p *Pool[T]) Try(job T) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// Close ends the workers after the jobs that they are doing.
func (p *Pool[T]) Close() {
	p.cancel()
	p.wg.Wait()
}
