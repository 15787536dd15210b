package worker

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// PanicError is a panic that ended one job while the process goes on.
type PanicError struct {
	Value any
	// Stack is the stack trace of the goroutine.
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

var (
	panics       atomic.Int64
	panicHandler atomic.Pointer[func(*PanicError)]
)

// Panics returns the number of panics that Protect has caught.
func Panics() int64 { return panics.Load() }

// SetPanicHandler sets the function that is called with each panic that Protect
// catches. It may be called concurrently and must not panic.
func SetPanicHandler(handle func(*PanicError)) { panicHandler.Store(&handle) }

// Protect calls fn. If fn panics, it calls the panic handler and returns a *PanicError,
// so that an unexpected error ends one job rather than the process.
func Protect(fn func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			caught := &PanicError{Value: value, Stack: debug.Stack()}
			panics.Add(1)
			if handle := panicHandler.Load(); handle != nil {
				(*handle)(caught)
			}
			err = caught
		}
	}()
	fn()
	return nil
}
