package dynamo_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

type countingReader struct {
	io.Reader
	bytes *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes.Add(int64(n))
	return n, err
}

// countingProxy starts a TCP proxy to addr that adds the bytes of both
// directions to bytes. It returns the proxy's URL.
func countingProxy(b *testing.B, addr string, bytes *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	forward := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, countingReader{src, bytes})
		dst.Close()
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", addr)
			if err != nil {
				in.Close()
				return
			}
			go forward(out, in)
			go forward(in, out)
		}
	}()
	return "http://" + l.Addr().String()
}

// BenchmarkGet reads rows of several sizes over TCP. wire-bytes/op counts the
// bytes of request and response together, without TCP headers.
func BenchmarkGet(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10, 64 << 10} {
		b.Run("body="+strconv.Itoa(size), func(b *testing.B) {
			s := platformd.New(platformd.Options{})
			if err := s.Start("127.0.0.1:0"); err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { s.Close() })
			var bytes atomic.Int64
			c := dynamo.New(dynamo.Options{Endpoint: countingProxy(b, s.Addr(), &bytes)})
			key := cloud.Key{Partition: "config", Sort: "version"}
			ctx := context.Background()
			if err := dynamo.New(dynamo.Options{Endpoint: s.URL()}).Write(ctx, cloud.Write{Row: cloud.Row{Key: key, Revision: 1, Body: make([]byte, size)}}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := c.Get(ctx, key); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
		})
	}
}
