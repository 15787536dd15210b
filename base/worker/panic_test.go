package worker

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestPanics checks the kinds of workers in testdata/jobs.txt, one a line: jobs after one
// that panics must run, and the panic must be counted and handled.
func TestPanics(t *testing.T) {
	text, err := os.ReadFile("testdata/jobs.txt")
	if err != nil {
		t.Fatal(err)
	}
	run := map[string]func(job func(int), count int){
		"pool": func(job func(int), count int) {
			p := New(1, count, func(_ context.Context, i int) { job(i) })
			for i := range count {
				_ = p.Submit(i)
			}
		},
		"keyed": func(job func(int), count int) {
			p := NewKeyedPool(1, count, func(_ context.Context, i int) { job(i) })
			for i := range count {
				_ = p.Submit(7, i)
			}
		},
		"repeat": func(job func(int), _ int) {
			var s Scheduler
			i := -1
			s.Repeat(t.Context(), func(ctx context.Context) {
				i++
				job(i)
				Sleep(ctx, time.Millisecond)
			})
		},
		"once": func(job func(int), count int) {
			var s Scheduler
			for i := range count {
				s.Once(t.Context(), func(context.Context) { job(i) })
			}
		},
		"every": func(job func(int), _ int) {
			var s Scheduler
			i := -1
			s.Every(t.Context(), time.Millisecond, func(context.Context) { i++; job(i) })
		},
	}
	for _, kind := range strings.Fields(string(text)) {
		t.Run(kind, func(t *testing.T) { checkPanics(t, run[kind]) })
	}
}

// checkPanics lets the first of three jobs panic and waits for the last one.
func checkPanics(t *testing.T, run func(job func(int), count int)) {
	handled, done := make(chan *PanicError, 1), make(chan struct{})
	SetPanicHandler(func(e *PanicError) { handled <- e })
	before := Panics()
	const count = 3
	run(func(i int) {
		switch i {
		case 0:
			panic("unexpected")
		case count - 1:
			close(done)
		}
	}, count)
	for _, wait := range []func() bool{
		func() bool { e := <-handled; return e.Value == "unexpected" && len(e.Stack) > 0 },
		func() bool { <-done; return true },
	} {
		ok := make(chan bool, 1)
		go func() { ok <- wait() }()
		select {
		case got := <-ok:
			if !got {
				t.Error("panic: got another value or no stack, want both")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("jobs after a panic: got none within 5 s, want all")
		}
	}
	if got, want := Panics()-before, int64(1); got != want {
		t.Errorf("panics: got %d, want %d", got, want)
	}
}

// TestProtect checks what Protect returns.
func TestProtect(t *testing.T) {
	SetPanicHandler(func(*PanicError) {})
	if got := Protect(func() {}); got != nil {
		t.Errorf("without a panic: got %v, want nil", got)
	}
	var caught *PanicError
	if got := Protect(func() { panic(3) }); !errors.As(got, &caught) || caught.Value != 3 {
		t.Errorf("with a panic: got %v, want a *PanicError with the value 3", got)
	}
}
