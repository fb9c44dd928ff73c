package hostlist

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

// decode returns the entries of a list for a service, "" for all, and a problem for
// each odd one.
func decode(body []byte, service string) (hosts []cloud.ListedHost, problems []error, err error) {
	elements, err := splitArray(body)
	if err != nil {
		return nil, nil, err
	}
	hosts = make([]cloud.ListedHost, 0, len(elements))
	for i, element := range elements {
		var h cloud.ListedHost
		err := json.Unmarshal(element, &h)
		if err == nil {
			err = check(h, service)
		}
		if err != nil {
			problems = append(problems, errors.Errorf("entry %d: %.200s", i, err.Error()))
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, problems, nil
}

func check(h cloud.ListedHost, service string) error {
	switch {
	case service != "" && h.Service != service:
		return errors.Errorf("got service %.40q; expected %q", h.Service, service)
	case !table.UsableAddr(h.Addr):
		return errors.Errorf("got address %.60q; expected one that all hosts reach", h.Addr)
	case len(h.FailureDomain) > table.MaxNameBytes || strings.ContainsFunc(h.FailureDomain, func(r rune) bool { return !unicode.IsPrint(r) }):
		return errors.Errorf("got failure domain %.40q; expected at most %d printable bytes", h.FailureDomain, table.MaxNameBytes)
	}
	return nil
}

var errNoArray = errors.New("expected a JSON array")

// splitArray returns the elements of a JSON array. encoding/json would reject the array
// as a whole for one element that is nested deeper than 10,000 levels or malformed.
func splitArray(body []byte) (elements [][]byte, err error) {
	body = bytes.TrimSpace(body)
	last := len(body) - 1
	if last < 1 || body[0] != '[' || body[last] != ']' {
		return nil, errNoArray
	}
	depth, start, inText := 0, 1, false
	for i := 1; i < last; i++ {
		switch c := body[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			elements, start = append(elements, body[start:i]), i+1
		}
		if depth < 0 {
			return nil, errNoArray
		}
	}
	if inText || depth != 0 {
		return nil, errNoArray
	}
	if rest := body[start:last]; len(elements) > 0 || len(bytes.TrimSpace(rest)) > 0 {
		elements = append(elements, rest)
	}
	return elements, nil
}
