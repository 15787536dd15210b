// Package logs makes the loggers of all programs: one line of key=value pairs
// for each event, on standard output. Logging never makes a process wait, and
// the number of lines a second is bounded for each kind of event.
package logs

import (
	"os"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// budgetSpan is the span for which lines of one kind are counted.
	budgetSpan = time.Second
	// budgetLines is how many lines of one kind are written in it: twice what a
	// router of today's sizes writes at its peak.
	budgetLines = 400
)

// left counts the lines that were left out by the budget.
var left atomic.Int64

// Left returns how many lines the process has left out to keep to the budget.
func Left() int64 { return left.Load() }

// New returns a logger to standard output at a level such as "info". An
// unknown level counts as "info".
func New(level string) *zap.Logger {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = zapcore.InfoLevel
	}
	return zap.New(newCore(NewWriter(os.Stdout), l))
}

func newCore(out zapcore.WriteSyncer, l zapcore.Level) zapcore.Core {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.LevelKey = "level"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zapcore.NewSamplerWithOptions(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, l), budgetSpan, budgetLines, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				left.Add(1)
			}
		}))
}

// Err returns the field of an error: its text alone, without the places in the
// source where it was wrapped.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
