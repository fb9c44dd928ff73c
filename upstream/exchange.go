package upstream

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
)

// Errors of an exchange after its connection was opened.
var (
	// ErrMalformed: the upstream sent bytes that are not an HTTP/1.1 response.
	ErrMalformed = errors.New("upstream response is malformed")
	// ErrProtocol: the header of a final response did not arrive.
	ErrProtocol = errors.New("upstream sent no complete header of a final response")
	// ErrTruncated: the body of the response ended before its announced end.
	ErrTruncated = errors.New("upstream response is truncated")
	// ErrTimeout: the deadline passed.
	ErrTimeout = errors.New("deadline passed before the upstream response was complete")
)

// wrapError wraps a parser or socket error in kind, or in ErrTimeout when it
// is a time-out.
func wrapError(kind, cause error) error {
	if errors.Is(cause, fasthttp.ErrTimeout) || errors.Is(cause, os.ErrDeadlineExceeded) {
		kind = ErrTimeout
	}
	return errors.Wrap(kind, cause.Error())
}

// maxInterimResponses bounds the interim (1xx) responses read before a final
// one.
const maxInterimResponses = 16

const (
	exchangeOpen int32 = iota
	exchangeCancelled
	exchangeEnded
)

// Exchange is one request on one connection. Only its owner may call its
// methods, except Cancel.
type Exchange struct {
	client *Client
	conn   *conn
	resp   *fasthttp.Response
	state  atomic.Int32
	// requestSent is true when the request was written completely.
	requestSent bool
	// bodyDone is true when the response was read completely.
	bodyDone bool
	// notReusable is true when the connection is to be closed after the exchange.
	notReusable bool
	body        io.Reader
}

func newExchange(c *Client, cn *conn) *Exchange {
	x := &Exchange{client: c, conn: cn, resp: fasthttp.AcquireResponse()}
	x.resetResponse()
	return x
}

// resetResponse configures the response for reading.
func (x *Exchange) resetResponse() {
	x.resp.Header.DisableNormalizing()
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.StreamBody = true
}

// Reused reports whether the connection had served an earlier exchange.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Writer returns the buffer that the request is written to; Flush sends its
// content.
func (x *Exchange) Writer() *bufio.Writer { return x.conn.bw }

// Send writes a request with its complete header and body, and flushes.
func (x *Exchange) Send(head, body []byte) error {
	bw := x.conn.bw
	if _, err := bw.Write(head); err != nil {
		return errors.WithStack(err)
	}
	if _, err := bw.Write(body); err != nil {
		return errors.WithStack(err)
	}
	if err := bw.Flush(); err != nil {
		return errors.WithStack(err)
	}
	x.requestSent = true
	return nil
}

// MarkRequestSent marks a request that was written through Writer as
// complete, so that the connection may be reused.
func (x *Exchange) MarkRequestSent() { x.requestSent = true }

// StopWriting makes blocked writes fail.
func (x *Exchange) StopWriting() { _ = x.conn.nc.SetWriteDeadline(time.Unix(1, 0)) }

// ReadHeader reads the header of the final response and skips 1xx responses.
// head is true for a HEAD request, whose response has no body.
func (x *Exchange) ReadHeader(head bool) error {
	h := &x.resp.Header
	x.conn.responses.ExpectHEAD(head)
	for range maxInterimResponses {
		if err := x.readRawHeader(); err != nil {
			return x.readError(ErrProtocol, err)
		}
		if err := h.Read(x.conn.br); err != nil {
			return x.readError(ErrProtocol, err)
		}
		if status := h.StatusCode(); status >= fasthttp.StatusOK {
			return x.startBody(head, status)
		}
	}
	return errors.Wrap(ErrProtocol, "16 interim (1xx) responses and no final one")
}

var headerEnd = []byte("\r\n\r\n")

// readRawHeader waits for a complete header and copies its bytes.
func (x *Exchange) readRawHeader() error {
	br := x.conn.br
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return err
		}
		block, err := br.Peek(br.Buffered())
		if err != nil {
			return err
		}
		if end := bytes.Index(block, headerEnd); end >= 0 {
			x.conn.rawHeader = append(x.conn.rawHeader[:0], block[:end+len(headerEnd)]...)
			return nil
		}
	}
}

// RawHeader returns the header of the response as it arrived, including the
// status line and the blank line. It is valid until Close.
func (x *Exchange) RawHeader() []byte { return x.conn.rawHeader }

func (x *Exchange) startBody(head bool, status int) error {
	x.client.observeResponse(x.conn)
	noBody := head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	if noBody || x.resp.Header.ContentLength() == 0 {
		x.bodyDone = true
		return nil
	}
	if err := x.resp.ReadBody(x.conn.br, 0); err != nil {
		return x.readError(ErrTruncated, err)
	}
	x.body = x.resp.BodyStream()
	return nil
}

// DiscardBody reads and discards the rest of the response body.
func (x *Exchange) DiscardBody() error {
	_, err := io.Copy(io.Discard, x)
	return err
}

// HeaderValue returns the value of a response header, whatever the case of its
// name; "" when there is none or name is empty.
func (x *Exchange) HeaderValue(name string) string {
	return lo.FirstOrEmpty(x.HeaderValues(name))
}

// HeaderValues returns all values of a response header, whatever the case of its
// name.
func (x *Exchange) HeaderValues(name string) (values []string) {
	for n, v := range x.resp.Header.All() {
		if name != "" && strings.EqualFold(string(n), name) {
			values = append(values, string(v))
		}
	}
	return values
}

// maxSkippedBytes bounds the body of a response that belongs to another request: a
// faulty upstream may send one without end.
const maxSkippedBytes = 4 << 20

// Skip reads to the end of a response that belongs to another request, so
// that ReadHeader reads the next one. The connection is not reused
// afterwards.
func (x *Exchange) Skip() error {
	x.DisableReuse()
	switch n, err := io.Copy(io.Discard, io.LimitReader(x, maxSkippedBytes+1)); {
	case err != nil:
		return err
	case n > maxSkippedBytes:
		return errors.Wrapf(ErrProtocol, "response to another request exceeds %d bytes", maxSkippedBytes)
	}
	_ = x.resp.CloseBodyStream()
	x.resp.Reset()
	x.resetResponse()
	x.body, x.bodyDone = nil, false
	return nil
}

// DisableReuse makes Close close the connection.
func (x *Exchange) DisableReuse() { x.notReusable = true }

// Header returns the header of the response after ReadHeader. After the end
// of the body it includes the trailers.
func (x *Exchange) Header() *fasthttp.ResponseHeader { return &x.resp.Header }

// HasBody reports whether the response has a body that was not read to its
// end.
func (x *Exchange) HasBody() bool { return !x.bodyDone }

// lengthUntilClose is the Content-Length, in fasthttp's terms, of a response that ends
// with its connection.
const lengthUntilClose = -2

// Read reads the body. It returns io.EOF only at the end of a complete
// response.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.bodyDone {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	// fasthttp wraps io.EOF in errors that mean a truncated body.
	if err == io.EOF { //nolint:errorlint // only the bare value is the end
		if x.resp.Header.ContentLength() == lengthUntilClose && x.conn.resetOnWrite.Load() {
			return n, errors.Wrap(ErrTruncated, "connection was reset while the request was written")
		}
		x.bodyDone = true
		return n, io.EOF
	}
	if err != nil {
		err = x.readError(ErrTruncated, err)
	}
	return n, err
}

// readError wraps an error of reading the response in kind, or in ErrMalformed when the
// response was rejected.
func (x *Exchange) readError(kind, cause error) error {
	if malformed := x.conn.responses.Err(); malformed != nil {
		return wrapError(ErrMalformed, malformed)
	}
	return wrapError(kind, cause)
}

// Cancel closes the connection of an exchange that has not ended. It is safe
// for concurrent use.
func (x *Exchange) Cancel() {
	if x.state.CompareAndSwap(exchangeOpen, exchangeCancelled) {
		x.conn.nc.Close()
	}
}

// Close ends the exchange. The connection is reused only if request and
// response were complete, both sides allow it, and nothing more has arrived.
func (x *Exchange) Close() {
	cancelled := !x.state.CompareAndSwap(exchangeOpen, exchangeEnded)
	cn := x.conn
	unsolicited := cn.br.Buffered() > 0 || cn.responses.Err() != nil
	keep := !cancelled && !x.notReusable && x.requestSent && x.bodyDone && !x.resp.Header.ConnectionClose() && !unsolicited
	if unsolicited && x.bodyDone {
		cn.target.recordUnsolicited(x.client.opts.Clock.Now())
	}
	_ = x.resp.CloseBodyStream()
	if limit, ok := keepAlive(&x.resp.Header); ok {
		cn.idleLimit = limit
	}
	fasthttp.ReleaseResponse(x.resp)
	x.resp, x.body = nil, nil
	if !keep {
		cn.discard()
		return
	}
	cn.reused = true
	cn.target.release(cn, x.client.opts.Clock.Now())
}
