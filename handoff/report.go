package handoff

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/owner"
)

// maxReportBytes bounds the text of a report.
const maxReportBytes = 64

// ErrReport says that a text is no report.
var ErrReport = errors.New("malformed group load report")

// FormatReport writes a report as "backlog slots microseconds".
func FormatReport(r owner.Report) string {
	return fmt.Sprintf("%d %d %d", r.Backlog, r.Slots, r.Service.Microseconds())
}

// ParseReport reads what FormatReport wrote; impossible figures are refused.
func ParseReport(text string) (owner.Report, error) {
	if len(text) > maxReportBytes {
		return owner.Report{}, ErrReport
	}
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return owner.Report{}, ErrReport
	}
	var n [3]int
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 32)
		if err != nil {
			return owner.Report{}, errors.Wrap(ErrReport, err.Error())
		}
		n[i] = int(v)
	}
	r := owner.Report{Backlog: n[0], Slots: n[1], Service: time.Duration(n[2]) * time.Microsecond}
	if !r.Valid() {
		return owner.Report{}, ErrReport
	}
	return r, nil
}
