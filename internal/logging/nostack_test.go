package logging

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func TestErrorsAreLoggedWithoutStackTrace(t *testing.T) {
	g := NewWithT(t)
	observed, lines := observer.New(zapcore.InfoLevel)
	log := zap.New(noStackCore{observed}).With(zap.Error(errors.New("first")))
	log.Debug("not written")
	log.Info("written", zap.NamedError("cause", errors.New("second")), zap.Int("n", 1))
	g.Expect(lines.Len()).To(Equal(1))
	g.Expect(lines.All()[0].ContextMap()).To(Equal(map[string]any{"error": "first", "cause": "second", "n": int64(1)}))
}
