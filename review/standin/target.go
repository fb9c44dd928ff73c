//go:build review

package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
)

// Heartbeat is the time between two writes of a target to the store.
const Heartbeat = 1500 * time.Millisecond

// HealthPath is the path of the health check.
const HealthPath = "/healthz"

// maxQueued is the number of requests that wait for a slot of a target.
const maxQueued = 4

// Run is one run of a request at a target.
type Run struct {
	Request, Target, Service string
	At                       time.Time
}

// Target is a target: a process of a service with two slots, a short queue, a load
// report and an entry in the store.
type Target struct {
	ID, Service, Zone string
	// Born is the start of the target by its own clock, in Unix milliseconds.
	Born int64
	// Work returns how long a request takes.
	Work func(r *http.Request) time.Duration
	// AnswersEarly makes the target answer before it has read a body, and read on later.
	AnswersEarly bool

	record *Record
	store  *fakestore.Server
	http   *http.Server
	addr   string
	slots  chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	waiting  int
	runs     []Run
	stop     context.CancelFunc
}

// slotCount is the number of slots of a target.
const slotCount = 2

// StartTarget starts a target at an address and registers it as ready.
func StartTarget(id, service, zone, address string, born int64, work time.Duration, store *fakestore.Server, record *Record) (*Target, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Target{
		ID: id, Service: service, Zone: zone, Born: born, record: record, store: store, addr: address, state: "ready",
		slots: make(chan struct{}, slotCount), Work: func(*http.Request) time.Duration { return work },
	}
	t.http = &http.Server{Handler: t}
	go func() { _ = t.http.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	t.write()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(Heartbeat):
				t.write()
			}
		}
	}()
	return t, nil
}

// write writes the target's entry.
func (t *Target) write() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == "" {
		return
	}
	t.sequence++
	t.store.Put("servers", t.ID, map[string]any{
		"service": t.Service, "address": t.addr, "zone": t.Zone, "version": "v1", "slots": slotCount,
		"state": t.state, "warmupLeftS": 0, "seq": t.sequence, "born": t.Born,
	})
}

// Drain writes to the store that the target is leaving.
func (t *Target) Drain() {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.write()
}

// End ends the target at once; entry says whether its entry is removed, as after a
// planned end.
func (t *Target) End(removeEntry bool) {
	t.stop()
	t.mu.Lock()
	t.state = ""
	t.mu.Unlock()
	if removeEntry {
		t.store.Delete("servers", t.ID)
	}
	_ = t.http.Close()
}

// Runs returns the runs so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Body is the body of the response to a request.
func Body(id string) string { return "answer to " + id + "\n" }

// Signature is the signature of the response to a request.
func Signature(id string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(Body(id)))
	return strconv.FormatUint(h.Sum64(), 16)
}

func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", len(t.slots), t.waiting, slotCount)
}

func (t *Target) leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state != "ready"
}

// ServeHTTP serves a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", t.load())
	if r.URL.Path == HealthPath {
		h.Set("Instance-Id", t.ID)
		if t.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.ID {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.takeSlot(r.Context()) {
		t.record.Add("target %s has no room for %s", t.ID, id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.mu.Lock()
	t.runs = append(t.runs, Run{Request: id, Target: t.ID, Service: t.Service, At: time.Now()})
	t.mu.Unlock()
	t.record.Add("target %s runs %s %s %s", t.ID, id, r.Method, r.RequestURI)
	if t.AnswersEarly {
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			t.record.Add("target %s: %v", t.ID, err)
		}
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.record.Add("target %s: body of %s: %v", t.ID, id, err)
		return
	}
	select {
	case <-time.After(t.Work(r)):
	case <-r.Context().Done():
		t.record.Add("target %s: run of %s is cut off", t.ID, id)
		return
	}
	t.record.Add("target %s ends %s", t.ID, id)
	h.Set("Response-Signature", Signature(id))
	h.Set("Content-Length", strconv.Itoa(len(Body(id))))
	_, _ = w.Write([]byte(Body(id)))
	if t.AnswersEarly {
		_ = http.NewResponseController(w).Flush()
		t.record.Add("target %s has answered %s", t.ID, id)
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// takeSlot waits for a slot; false when the queue is full or the caller left.
func (t *Target) takeSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= maxQueued {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
