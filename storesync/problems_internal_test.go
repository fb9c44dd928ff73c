package storesync

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against odd entries that leave no trace at the usual log level, and against
// thousands of lines about thousands of them.
func TestOddEntriesAreLoggedInFewLines(t *testing.T) {
	for _, odd := range []int{1, 5000} {
		g := NewWithT(t)
		f, _ := newFollowerOf(t, newReaderStub(t), &failingSource{})
		core, logged := observer.New(zapcore.InfoLevel)
		f.Logger = zap.New(core)
		f.logProblems(lo.Times(odd, func(i int) error { return errors.New(fmt.Sprint("odd ", i)) }))
		lines := logged.FilterMessageSnippet("entr").All()
		g.Expect(len(lines)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 5)))
		g.Expect(fmt.Sprint(lines[0].ContextMap())).To(ContainSubstring("odd 0"))
		if odd > 1 {
			g.Expect(lines[len(lines)-1].ContextMap()).To(HaveKeyWithValue("entries", int64(odd)))
		}
	}
}
