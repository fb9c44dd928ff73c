package proxy

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// maxForeign bounds the answers to other requests that are skipped while the
// own one is awaited; an upstream that sends more is faulty.
const maxForeign = 4

var (
	// errForeign: nothing but answers to other requests arrived.
	errForeign = errors.New("answer belongs to another request")
	// errNameless: an answer without an id that does not refuse the request.
	errNameless = errors.New("answer has no request id")
	// errUnsigned: a success that does not come from the upstream's program.
	errUnsigned = errors.New("successful answer has no signature")
	// errEncoded: a body in an encoding that nobody asked for.
	errEncoded = errors.New("answer has an encoded body")
)

// readOwn reads the header of the answer to this request. Answers to other
// requests, which a faulty upstream leaves on a kept connection, are skipped.
func (c *call) readOwn(x *upstream.Exchange) error {
	for range maxForeign {
		if err := x.ReadHeader(c.in.head); err != nil {
			return err
		}
		foreign, err := c.foreign(x.Header())
		if err != nil {
			return err
		}
		if !foreign {
			return c.verify(x.Header())
		}
		if err := x.Skip(); err != nil {
			return err
		}
	}
	return errForeign
}

// foreign says that an answer repeats the id of another request. Only a
// refusal may have no id: it promises nothing but that nothing ran.
func (c *call) foreign(h *fasthttp.ResponseHeader) (bool, error) {
	n := c.server.names
	if n.RequestID == "" || c.in.id == "" {
		return false, nil
	}
	id, ok := headerValue(h, n.RequestID)
	if !ok && !n.notRun(h) {
		return false, errNameless
	}
	return ok && id != c.in.id, nil
}

// verify refuses a success that can't be the upstream's whole own answer.
func (c *call) verify(h *fasthttp.ResponseHeader) error {
	n := c.server.names
	success := h.StatusCode() >= fasthttp.StatusOK && h.StatusCode() < fasthttp.StatusMultipleChoices
	if !success {
		return nil
	}
	if _, ok := headerValue(h, n.Signature); n.Signature != "" && !ok {
		return errUnsigned
	}
	if _, ok := headerValue(h, fasthttp.HeaderContentEncoding); n.PlainBodies && ok {
		return errEncoded
	}
	return nil
}

// identityOf is the identity of an attempt's target, "" when it has none.
func identityOf(a ports.Attempt) string {
	if i, ok := a.(ports.IdentifiedAttempt); ok {
		return i.Identity()
	}
	return ""
}
