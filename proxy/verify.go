package proxy

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// maxOtherResponses bounds the responses to other requests that are skipped
// before the response to this request; an upstream that sends more is faulty.
const maxOtherResponses = 4

var (
	// errOtherRequest: only responses to other requests arrived.
	errOtherRequest = errors.New("none of the first 4 responses on the connection belongs to this request; connection closed")
	// errNoRequestID: a response without a request ID that does not say that
	// the request was not run.
	errNoRequestID = errors.New("response has no request ID and does not say that the request was not run; response discarded")
	// errSeveralRequestIDs: more than one request ID, as in a request that is rejected.
	errSeveralRequestIDs = errors.New("response has more than one request ID; response discarded")
	// errUnsigned: a 2xx response without the signature that the upstream's
	// program adds.
	errUnsigned = errors.New("2xx response has no signature; response discarded")
	// errEncoded: a 2xx response with a Content-Encoding where the dialect
	// allows none.
	errEncoded = errors.New("2xx response has a Content-Encoding, expected none; response discarded")
)

// readMatchingHeader reads the header of the response to this request.
// Responses to other requests, which a faulty upstream leaves on a reused
// connection, are skipped.
func (c *call) readMatchingHeader(x *upstream.Exchange) error {
	for range maxOtherResponses {
		if err := x.ReadHeader(c.in.isHEAD); err != nil {
			return err
		}
		otherRequest, err := c.otherRequest(x.Header())
		if err != nil {
			return err
		}
		if !otherRequest {
			return c.verify(x.Header())
		}
		if err := x.Skip(); err != nil {
			return err
		}
	}
	return errOtherRequest
}

// otherRequest reports whether a response carries the ID of another request.
// Only a response that says not-run may have no ID, since it reports nothing
// but that nothing ran.
func (c *call) otherRequest(h *fasthttp.ResponseHeader) (bool, error) {
	n := c.server.names
	if n.RequestID == "" || c.in.requestID == "" {
		return false, nil
	}
	id, count := "", 0
	for name, value := range h.All() {
		if equalName(name, n.RequestID) {
			id = string(value)
			count++
		}
	}
	switch {
	case count > 1:
		return false, errSeveralRequestIDs
	case count == 0 && !n.notRun(h):
		return false, errNoRequestID
	}
	return count == 1 && id != c.in.requestID, nil
}

// namesRequest reports whether a response carries the ID of its request.
func (c *call) namesRequest(h *fasthttp.ResponseHeader) bool {
	_, ok := headerValue(h, c.server.names.RequestID)
	return ok
}

// verify rejects a 2xx response that can't be the upstream's own complete
// response.
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

// identityOf returns the identity of an attempt's target, "" when it has
// none.
func identityOf(a lb.Attempt) string {
	if i, ok := a.(lb.IdentifiedAttempt); ok {
		return i.Identity()
	}
	return ""
}
