package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{open: make(chan struct{})}
	l, err := New(w, "info")
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10 * maxQueuedLines {
			l.Info("line", zap.Int("n", i))
		}
	}()
	g.Eventually(done).WithTimeout(20 * time.Second).Should(BeClosed())
	g.Expect(l.Dropped()).To(BeNumerically(">", 0))
	close(w.open)
	l.Close()
	g.Eventually(w.text).WithTimeout(20 * time.Second).Should(ContainSubstring(`"n":0`))
	l.Info("after")
	g.Expect(strings.Count(w.text(), "\n")).To(BeNumerically("<=", maxQueuedLines+1))
}

func TestLinesPerSecondAreLimited(t *testing.T) {
	g := NewWithT(t)
	q := newQueue(&bytes.Buffer{})
	defer q.close()
	now := time.Unix(1_700_000_000, 0)
	allowed := 0
	for range 5 * maxLinesPerSecond {
		if q.withinRate(now) {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(maxLinesPerSecond))
	g.Expect(q.withinRate(now.Add(time.Second))).To(BeTrue())
}

func TestLevelCanBeChanged(t *testing.T) {
	g := NewWithT(t)
	var buf bytes.Buffer
	l, err := New(&buf, "warn")
	g.Expect(err).NotTo(HaveOccurred())
	l.Info("hidden")
	g.Expect(l.SetLevel("info")).To(Succeed())
	g.Expect(l.SetLevel("loud")).NotTo(Succeed())
	l.Info("shown")
	l.Close()
	g.Expect(buf.String()).To(ContainSubstring("shown"))
	g.Expect(buf.String()).NotTo(ContainSubstring("hidden"))
	l.Info("after the end")
}

func TestDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	var buf bytes.Buffer
	q := newQueue(&buf)
	for range maxLinesPerSecond + 5 {
		_, _ = q.Write([]byte("line\n"))
	}
	g.Expect(q.unreported).To(BeNumerically(">=", 5))
	q.windowStart = time.Time{}
	_, _ = q.Write([]byte("line\n"))
	q.close()
	g.Expect(buf.String()).To(ContainSubstring(`"msg":"log lines left out","lines":`))
}
