package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// noStackCore is a zapcore.Core that logs errors as their message, without the
// stack trace that they carry.
type noStackCore struct{ zapcore.Core }

// With implements zapcore.Core. It returns a core that adds fields to every line.
func (c noStackCore) With(fields []zapcore.Field) zapcore.Core {
	return noStackCore{c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core. It registers this core for the entry when the
// entry's level is enabled.
func (c noStackCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core. It writes error fields as strings.
func (c noStackCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
