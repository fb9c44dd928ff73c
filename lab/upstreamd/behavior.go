package upstreamd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Drain is the way in which a target drains.
type Drain string

// The values of Drain.
const (
	// DrainNone means that the target is not draining.
	DrainNone Drain = ""
	// DrainAnnounced means that the target serves requests and adds
	// Chestnut-Draining: 1 to its responses.
	DrainAnnounced Drain = "announced"
	// DrainSilent means that the target rejects new requests as not run,
	// without announcing that it drains.
	DrainSilent Drain = "silent"
)

// LoadReport is the kind of load report.
type LoadReport string

// The values of LoadReport.
const (
	// ReportAccurate reports the load at the time of the response.
	ReportAccurate LoadReport = ""
	// ReportFrozen always reports the load at the time when it was set.
	ReportFrozen LoadReport = "frozen"
	// ReportIdle always reports no load.
	ReportIdle LoadReport = "idle"
	// ReportAbsurd reports negative and impossibly large values.
	ReportAbsurd LoadReport = "absurd"
	// ReportNone omits the report.
	ReportNone LoadReport = "none"
)

// Behavior is the injected misbehavior of a target. The zero value is a healthy
// target.
type Behavior struct {
	// Slowdown multiplies service times. 0 and 1 don't change them.
	Slowdown float64 `json:"slowdown"`
	// Noisy simulates a noisy neighbor: the speed of all slots changes every
	// few milliseconds.
	Noisy bool `json:"noisy"`
	// FailFast responds with status 500 at once and runs nothing.
	FailFast bool `json:"fail_fast"`
	// Hang runs requests but never responds.
	Hang bool `json:"hang"`
	// Drain is the way in which the target drains.
	Drain Drain `json:"drain"`
	// Report is the kind of load report.
	Report LoadReport `json:"report"`
}

// Validate returns an error that names the first invalid field and the expected
// values.
func (b Behavior) Validate() error {
	switch {
	case b.Slowdown < 0:
		return errors.Errorf("slowdown %v: expected 0 or more", b.Slowdown)
	case b.Drain != DrainNone && b.Drain != DrainAnnounced && b.Drain != DrainSilent:
		return errors.Errorf("drain %q: expected announced or silent", b.Drain)
	}
	switch b.Report {
	case ReportAccurate, ReportFrozen, ReportIdle, ReportAbsurd, ReportNone:
		return nil
	}
	return errors.Errorf("report %q: expected frozen, idle, absurd or none", b.Report)
}

// Set sets the field with the given JSON name from its text form. It does not
// validate Drain and Report; see Validate.
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

// handleControl serves GET and POST /control. A POST changes only the fields
// that its JSON body or its query names; restart=true restarts the target. Both
// respond with the behavior.
func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		if err := s.control(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, s.Behavior())
}

// control applies a POST to /control. It changes nothing if any part is invalid.
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
