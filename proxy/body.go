package proxy

import (
	"bytes"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// requestBody is the body of a request as it goes on. Its first part is held;
// the rest, when there is one, is read from the caller while it is sent.
type requestBody struct {
	held []byte
	// rest is nil when held is the whole body.
	rest io.Reader
	// length is the length of the whole body, unknownLength when chunked.
	length int64
	// trailers are raw lines that follow a chunked body.
	trailers func() []byte
}

// whole says that the body can be sent again.
func (b *requestBody) whole() bool { return b.rest == nil }

// readBody holds up to limit bytes of the body.
func readBody(ctx *fasthttp.RequestCtx, in *inbound, limit int) (requestBody, *problem) {
	stream := ctx.RequestBodyStream()
	if stream == nil || in.length == 0 {
		return requestBody{}, nil
	}
	b := requestBody{length: in.length}
	if in.length == unknownLength && in.trailer != "" {
		b.trailers = ctx.Request.Header.TrailerHeader
	}
	held := bytes.NewBuffer(make([]byte, 0, heldSize(in.length, limit)))
	n, err := io.Copy(held, io.LimitReader(stream, int64(limit)+1))
	b.held = held.Bytes()
	if err != nil {
		return b, bodyProblem(err)
	}
	if n > int64(limit) {
		b.rest = stream
		return b, nil
	}
	if in.length != unknownLength && n != in.length {
		return b, bodyProblem(io.ErrUnexpectedEOF)
	}
	if b.trailers == nil {
		b.length = n
	}
	return b, nil
}

func heldSize(length int64, limit int) int {
	if length == unknownLength || length > int64(limit) {
		return bytes.MinRead
	}
	return int(length) + bytes.MinRead
}

// bodyProblem says why a caller's body could not be read.
func bodyProblem(err error) *problem {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		p := malformed("request body did not arrive in time")
		p.status = fasthttp.StatusRequestTimeout
		return p
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		p := newProblem(outcome.CallerGone, outcome.NotRun, "request body ended early")
		p.status, p.closes = fasthttp.StatusBadRequest, true
		return p
	}
	return malformed("request body is malformed")
}
