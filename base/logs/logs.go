// Package logs creates the loggers of all programs. They write one line of
// key=value pairs per event to standard output, never block the process, and
// limit the number of lines per second for each level and event name.
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
	// rateInterval is the interval of the rate limit.
	rateInterval = time.Second
	// rateLimit is the number of lines with the same level and event name that
	// are written per interval: twice the peak of a router in a fleet of the
	// current size.
	rateLimit = 400
)

// suppressed counts the lines that the rate limit has suppressed.
var suppressed atomic.Int64

// SuppressedLines returns how many lines of the process the rate limit has
// suppressed.
func SuppressedLines() int64 { return suppressed.Load() }

// New returns a logger to standard output with a minimum level such as "info".
// An unknown or empty level means "info".
func New(level string) *zap.Logger {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = zapcore.InfoLevel
	}
	return zap.New(newCore(NewAsyncWriter(os.Stdout), l))
}

func newCore(out zapcore.WriteSyncer, l zapcore.Level) zapcore.Core {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.LevelKey = "level"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zapcore.NewSamplerWithOptions(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, l), rateInterval, rateLimit, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				suppressed.Add(1)
			}
		}))
}

// Err returns the log field "error" with the text of err alone, without the
// source positions at which it was wrapped. It returns no field for nil.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
