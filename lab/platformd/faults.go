package platformd

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Duration is a time.Duration that JSON spells as "1.5s".
type Duration time.Duration

// MarshalText spells the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.Errorf("duration %q: expected a positive Go duration such as 200ms", text)
	}
	*d = Duration(v)
	return nil
}

// Faults are the failures in force. The zero value is a sound platform.
type Faults struct {
	// Down makes both stores answer 503; nothing is applied.
	Down bool `json:"down"`
	// Cut makes both stores close the connection with no answer; nothing is
	// applied.
	Cut bool `json:"cut"`
	// Slow delays every call to a store.
	Slow Duration `json:"slow"`
	// AckLost is the number of coming writes that take effect while their
	// connection is cut with no answer.
	AckLost int `json:"ack_lost"`
	// ListLag is the time after which a change of the host list shows.
	ListLag Duration `json:"list_lag"`
}

// faultSwitch holds the faults in force.
type faultSwitch struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultSwitch) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSwitch) set(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// takeAckLost uses up one lost acknowledgement; false when there is none.
func (f *faultSwitch) takeAckLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.AckLost <= 0 {
		return false
	}
	f.faults.AckLost--
	return true
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.current() }

// handleFaults serves GET /faults and POST /faults. A POST changes just the
// faults that it names, in a JSON body or in the query.
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

// Set changes one fault by its JSON name.
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
