package budget

import (
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"camphorpulley.org/base/machine"
	"camphorpulley.org/core/memory"
)

// Apply returns the limits for a machine, and makes the runtime keep to its part of the memory.
// What is zero is read from the machine.
func Apply(m memory.Machine, log *zap.Logger) memory.Limits {
	if m.Bytes == 0 {
		m.Bytes = machine.Memory(os.DirFS("/"))
	}
	if m.Descriptors == 0 {
		m.Descriptors = machine.Descriptors()
	}
	l := memory.Divide(m)
	if l.Runtime > 0 {
		debug.SetMemoryLimit(l.Runtime)
	}
	log.Info("limits_applied", zap.Int64("memory", m.Bytes), zap.Int("descriptors", m.Descriptors), zap.Int64("held", l.Held),
		zap.Int64("reserve", l.Reserve), zap.Int64("messages", l.Messages), zap.Int64("runtime", l.Runtime), zap.Int("callers", l.Callers), zap.Int("detours", l.Detours), zap.Int("peers", l.Peers),
		zap.Int("buffer", l.SocketBuffer))
	return l
}
