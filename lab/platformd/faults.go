package platformd

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration in the format of time.ParseDuration. A negative
// duration is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.Errorf("duration %q: expected a positive Go duration such as 200ms", text)
	}
	*d = Duration(v)
	return nil
}

// Faults are the injected faults. The zero value has none. The stores are the
// table service and the object store.
type Faults struct {
	// Down makes both stores respond with status 503 and apply nothing.
	Down bool `json:"down"`
	// Cut makes both stores close the connection without a response and apply
	// nothing.
	Cut bool `json:"cut"`
	// Slow delays every call to a store by this duration.
	Slow Duration `json:"slow"`
	// AckLost is the number of following writes that are applied but whose
	// connection is closed without a response.
	AckLost int `json:"ack_lost"`
	// ListLag is the delay before a change of the host list is visible.
	ListLag Duration `json:"list_lag"`
}

// faultState holds the current faults.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultState) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultState) set(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// takeLostAck reports whether the acknowledgement of this write is to be lost,
// and decrements AckLost if so.
func (f *faultState) takeLostAck() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.AckLost <= 0 {
		return false
	}
	f.faults.AckLost--
	return true
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faults.current() }

// handleFaults serves GET /faults and POST /faults. A POST changes only the
// faults that its JSON body or its query names. Both respond with the faults.
func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		f := s.Faults()
		if err := mergeFaults(&f, ctx); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	writeJSON(ctx, s.Faults())
}

func mergeFaults(f *Faults, ctx *fasthttp.RequestCtx) error {
	if body := ctx.PostBody(); len(body) > 0 {
		if err := decodeStrict(body, f); err != nil {
			return err
		}
	}
	for key, value := range ctx.QueryArgs().All() {
		if err := f.Set(string(key), string(value)); err != nil {
			return err
		}
	}
	return nil
}

// Set sets the fault with the JSON name key from its text form.
func (f *Faults) Set(key, value string) error {
	var err error
	switch key {
	case "down":
		f.Down, err = strconv.ParseBool(value)
	case "cut":
		f.Cut, err = strconv.ParseBool(value)
	case "slow":
		err = f.Slow.UnmarshalText([]byte(value))
	case "ack_lost":
		f.AckLost, err = strconv.Atoi(value)
	case "list_lag":
		err = f.ListLag.UnmarshalText([]byte(value))
	default:
		return errors.Errorf("unknown fault %q: expected down, cut, slow, ack_lost or list_lag", key)
	}
	return errors.Wrapf(err, "fault %s", key)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
