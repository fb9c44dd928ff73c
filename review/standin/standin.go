//go:build review

// Package standin holds the stand-ins that the scripts of the review share: targets,
// the start of gateway processes, and a record of what was sent, answered and run. The
// stand-in of the store is package fakestore.
package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is what was sent, answered and run, one line each.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: f, start: time.Now()}, err
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the script makes the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// ports holds the ports that this process has given out.
var ports sync.Map

// FreeAddress returns a loopback address that is free for TCP and UDP. Its port lies
// below the range from which the kernel takes ports of outgoing connections.
func FreeAddress() string {
	const first, last = 15_000, 32_000
	for range last - first {
		port := first + rand.IntN(last-first)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		_ = ln.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		if _, taken := ports.LoadOrStore(port, true); !taken {
			return address
		}
	}
	panic("standin: no free port")
}
