package handoff

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/owner"
)

// maxGroupLoadBytes is the maximum length of the text of a group load.
const maxGroupLoadBytes = 64

// ErrMalformedGroupLoad is returned for a text that is not a valid group load.
var ErrMalformedGroupLoad = errors.New(`group load malformed: expected "backlog slots microseconds"`)

// FormatGroupLoad returns the load as "backlog slots microseconds", where the last
// is the service time.
func FormatGroupLoad(r owner.GroupLoad) string {
	return fmt.Sprintf("%d %d %d", r.Backlog, r.Slots, r.ServiceTime.Microseconds())
}

// ParseGroupLoad parses the format of FormatGroupLoad. Its error matches
// ErrMalformedGroupLoad; values out of bounds are an error too.
func ParseGroupLoad(text string) (owner.GroupLoad, error) {
	if len(text) > maxGroupLoadBytes {
		return owner.GroupLoad{}, ErrMalformedGroupLoad
	}
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return owner.GroupLoad{}, ErrMalformedGroupLoad
	}
	var n [3]int
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 32)
		if err != nil {
			return owner.GroupLoad{}, errors.Wrap(ErrMalformedGroupLoad, err.Error())
		}
		n[i] = int(v)
	}
	r := owner.GroupLoad{Backlog: n[0], Slots: n[1], ServiceTime: time.Duration(n[2]) * time.Microsecond}
	if !r.Valid() {
		return owner.GroupLoad{}, ErrMalformedGroupLoad
	}
	return r, nil
}
