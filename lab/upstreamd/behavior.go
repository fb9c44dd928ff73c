package upstreamd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Drain is the way in which a target leaves.
type Drain string

// The ways to leave.
const (
	// Staying: the target is not leaving.
	Staying Drain = ""
	// Announced: answers carry Chestnut-Draining: 1; work is still done.
	Announced Drain = "announced"
	// Silent: new work is refused as not run, with no word of leaving.
	Silent Drain = "silent"
)

// LoadReport is the kind of load report.
type LoadReport string

// The kinds of load report.
const (
	// Accurate reports the state at the time of the answer.
	Accurate LoadReport = ""
	// Frozen repeats the state at the time of the switch.
	Frozen LoadReport = "frozen"
	// Idle always reports no load.
	Idle LoadReport = "idle"
	// Absurd reports negative and impossible figures.
	Absurd LoadReport = "absurd"
	// None leaves the report out.
	None LoadReport = "none"
)

// Behavior is how a target misbehaves. The zero value is a sound target.
type Behavior struct {
	// Slowdown multiplies service times; 0 and 1 leave them.
	Slowdown float64 `json:"slowdown"`
	// Noisy makes the speed of all slots shift every few milliseconds.
	Noisy bool `json:"noisy"`
	// FailFast answers 500 at once and runs nothing.
	FailFast bool `json:"fail_fast"`
	// Hang runs requests but never answers.
	Hang bool `json:"hang"`
	// Drain is the way in which the target leaves.
	Drain Drain `json:"drain"`
	// Report is the kind of load report.
	Report LoadReport `json:"report"`
}

// Validate says what is wrong with the behavior.
func (b Behavior) Validate() error {
	switch {
	case b.Slowdown < 0:
		return errors.Errorf("slowdown %v: expected 0 or more", b.Slowdown)
	case b.Drain != Staying && b.Drain != Announced && b.Drain != Silent:
		return errors.Errorf("drain %q: expected announced or silent", b.Drain)
	}
	switch b.Report {
	case Accurate, Frozen, Idle, Absurd, None:
		return nil
	}
	return errors.Errorf("report %q: expected frozen, idle, absurd or none", b.Report)
}

// Set changes one field by its JSON name.
func (b *Behavior) Set(name, value string) error {
	var err error
	switch name {
	case "slowdown":
		b.Slowdown, err = strconv.ParseFloat(value, 64)
	case "noisy":
		b.Noisy, err = strconv.ParseBool(value)
	case "fail_fast":
		b.FailFast, err = strconv.ParseBool(value)
	case "hang":
		b.Hang, err = strconv.ParseBool(value)
	case "drain":
		b.Drain = Drain(value)
	case "report":
		b.Report = LoadReport(value)
	default:
		err = errors.New("unknown behavior: expected slowdown, noisy, fail_fast, hang, drain or report")
	}
	return errors.Wrap(err, name)
}

// handleControl serves GET and POST /control. A POST changes just what it
// names, in a JSON body or in the query; restart=true restarts the target.
func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		if err := s.control(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, s.Behavior())
}

func (s *Server) control(r *http.Request) error {
	b := s.Behavior()
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		return errors.Wrap(err, "control body")
	}
	if body.Len() > 0 {
		d := json.NewDecoder(&body)
		d.DisallowUnknownFields()
		if err := d.Decode(&b); err != nil {
			return errors.Wrap(err, "control body")
		}
	}
	restart := false
	for name, vs := range r.URL.Query() {
		var err error
		if name == "restart" {
			restart, err = strconv.ParseBool(vs[0])
		} else {
			err = b.Set(name, vs[0])
		}
		if err != nil {
			return err
		}
	}
	if err := s.SetBehavior(b); err != nil {
		return err
	}
	if restart {
		s.Restart()
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
