package transfer_test

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/internal/transfer"
)

const timeout, stall = 600 * time.Millisecond, 2 * time.Second

// Guards against a transfer that is cut while it makes progress, and against one that
// holds a connection with a byte now and then.
func TestReadDeadlineMovesOnWithProgressOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		read := func(chunk, chunks int, pause time.Duration) (n int64, took time.Duration, err error) {
			near, far := net.Pipe()
			var sender sync.WaitGroup
			defer sender.Wait()
			defer near.Close()
			sender.Go(func() {
				defer far.Close()
				for range chunks {
					time.Sleep(pause)
					if _, err := far.Write(make([]byte, chunk)); err != nil {
						return
					}
				}
			})
			c := transfer.NewConn(near, stall, nil)
			began := time.Now()
			g.Expect(c.SetReadDeadline(began.Add(timeout))).To(Succeed())
			n, err = io.Copy(io.Discard, c)
			return n, time.Since(began), err
		}
		n, took, err := read(10_000, 100, 500*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeEquivalentTo(1_000_000))
		g.Expect(took).To(Equal(50 * time.Second))
		_, took, err = read(1, 100, 500*time.Millisecond)
		g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		g.Expect(took).To(Equal(timeout))
		_, took, err = read(10_000, 2, 550*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(took).To(Equal(1100 * time.Millisecond))
		_, took, err = read(10_000, 2, 5*time.Second)
		g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		g.Expect(took).To(Equal(timeout))
	})
}

// Guards against a large response that is cut because the receiver's link is slow.
func TestWriteDeadlineMovesOnWithProgressOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		write := func(piece, chunks int) (n int64, took time.Duration, err error) {
			near, far := net.Pipe()
			defer far.Close()
			go func() {
				buffer := make([]byte, 16<<10)
				for range chunks {
					time.Sleep(500 * time.Millisecond)
					_, _ = io.ReadFull(far, buffer)
				}
			}()
			c := transfer.NewConn(near, stall, nil)
			defer c.Close()
			began := time.Now()
			g.Expect(c.SetDeadline(began.Add(timeout))).To(Succeed())
			for n < 1<<20 && err == nil {
				var sent int
				sent, err = c.Write(make([]byte, piece))
				n += int64(sent)
			}
			return n, time.Since(began), err
		}
		for _, piece := range []int{4 << 10, 1 << 20} {
			n, took, err := write(piece, 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(BeEquivalentTo(1 << 20))
			g.Expect(took).To(Equal(32 * time.Second))
			_, took, err = write(piece, 10)
			g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			g.Expect(took).To(Equal(7 * time.Second))
		}
	})
}
