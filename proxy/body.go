package proxy

import (
	"bytes"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// requestBody is the body of a request as it is forwarded. Its first part is
// buffered; the rest, if any, is read from the caller while it is sent.
type requestBody struct {
	buffered []byte
	// rest is nil when buffered is the complete body.
	rest io.Reader
	// length is the length of the complete body in bytes, unknownLength when
	// it is chunked.
	length int64
	// trailers returns the raw trailer lines that follow a chunked body.
	trailers func() []byte
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.rest == nil }

// readBody buffers up to limit bytes of the body.
func readBody(ctx *fasthttp.RequestCtx, in *inbound, limit int) (requestBody, *localReply) {
	stream := ctx.RequestBodyStream()
	if stream == nil || in.length == 0 {
		return requestBody{}, nil
	}
	b := requestBody{length: in.length}
	if in.length == unknownLength && in.trailer != "" {
		b.trailers = ctx.Request.Header.TrailerHeader
	}
	buf := bytes.NewBuffer(make([]byte, 0, bufferSize(in.length, limit)))
	n, err := io.Copy(buf, io.LimitReader(stream, int64(limit)+1))
	b.buffered = buf.Bytes()
	if err != nil {
		return b, bodyReadFailure(err)
	}
	if n > int64(limit) {
		b.rest = stream
		return b, nil
	}
	if in.length != unknownLength && n != in.length {
		return b, bodyReadFailure(io.ErrUnexpectedEOF)
	}
	if b.trailers == nil {
		b.length = n
	}
	return b, nil
}

func bufferSize(length int64, limit int) int {
	if length == unknownLength || length > int64(limit) {
		return bytes.MinRead
	}
	return int(length) + bytes.MinRead
}

// bodyReadFailure returns the reply to a caller whose body could not be read.
func bodyReadFailure(err error) *localReply {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		p := malformed("request body did not arrive in time")
		p.status = fasthttp.StatusRequestTimeout
		return p
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		p := newLocalReply(outcome.CallerGone, outcome.NotRun, "request body ended early")
		p.status, p.closesConnection = fasthttp.StatusBadRequest, true
		return p
	}
	return malformed("request body is malformed")
}
