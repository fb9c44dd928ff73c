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
	"github.com/valyala/fasthttp"
)

// The ways in which an exchange fails after its first byte was written.
var (
	// ErrProtocol: the answer is not a final HTTP/1.1 answer.
	ErrProtocol = errors.New("upstream answer is malformed")
	// ErrTruncated: the body of the answer ended before its announced end.
	ErrTruncated = errors.New("upstream answer is truncated")
	// ErrTimeout: the deadline passed.
	ErrTimeout = errors.New("upstream deadline passed")
)

// failure gives an error of the codec or the socket its kind.
func failure(kind, cause error) error {
	if errors.Is(cause, fasthttp.ErrTimeout) || errors.Is(cause, os.ErrDeadlineExceeded) {
		kind = ErrTimeout
	}
	return errors.Wrap(kind, cause.Error())
}

// maxInterim bounds the 1xx answers before a final one.
const maxInterim = 16

const (
	exchangeOpen int32 = iota
	exchangeCancelled
	exchangeEnded
)

// Exchange is one request on one connection. All methods but Cancel belong to
// its owner.
type Exchange struct {
	client *Client
	conn   *conn
	resp   *fasthttp.Response
	state  atomic.Int32
	// whole: the request was written to its end.
	whole bool
	// bodyDone: the answer was read to its end.
	bodyDone bool
	// skipped: an answer to another request came before the own one.
	skipped bool
	body    io.Reader
}

func newExchange(c *Client, cn *conn) *Exchange {
	x := &Exchange{client: c, conn: cn, resp: fasthttp.AcquireResponse()}
	x.prepare()
	return x
}

// prepare makes the answer ready to be read.
func (x *Exchange) prepare() {
	x.resp.Header.DisableNormalizing()
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.StreamBody = true
}

// Reused is true when the connection had served an earlier exchange.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Writer is what the request is written to; Flush sends what it holds.
func (x *Exchange) Writer() *bufio.Writer { return x.conn.bw }

// SendWhole writes a request whose head and body are held, and flushes.
func (x *Exchange) SendWhole(head, body []byte) error {
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
	x.whole = true
	return nil
}

// SentWhole marks a request that was written through Writer as complete, so
// that the connection may be kept.
func (x *Exchange) SentWhole() { x.whole = true }

// StopWriting fails writes that wait for the target.
func (x *Exchange) StopWriting() { _ = x.conn.nc.SetWriteDeadline(time.Unix(1, 0)) }

// ReadHeader reads the header of the final answer, skipping 1xx. head is true
// for a HEAD request, whose answer has no body.
func (x *Exchange) ReadHeader(head bool) error {
	h := &x.resp.Header
	for range maxInterim {
		if err := x.readBlock(); err != nil {
			return failure(ErrProtocol, err)
		}
		if err := h.Read(x.conn.br); err != nil {
			return failure(ErrProtocol, err)
		}
		status := h.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols || status < 100 || status > 599 {
			return errors.Wrapf(ErrProtocol, "status %d", status)
		}
		if status >= 200 {
			return x.startBody(head, status)
		}
	}
	return errors.Wrap(ErrProtocol, "too many interim answers")
}

var (
	headerEnd    = []byte("\r\n\r\n")
	versionStart = []byte("HTTP/1.")
)

// readBlock waits for a whole header and keeps a copy of its bytes.
func (x *Exchange) readBlock() error {
	br := x.conn.br
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return err
		}
		block, err := br.Peek(br.Buffered())
		if err != nil {
			return err
		}
		known := min(len(block), len(versionStart))
		if !bytes.Equal(block[:known], versionStart[:known]) {
			return errors.New("not an HTTP/1 status line")
		}
		if end := bytes.Index(block, headerEnd); end >= 0 {
			x.conn.raw = append(x.conn.raw[:0], block[:end+len(headerEnd)]...)
			return checkLines(x.conn.raw)
		}
	}
}

// checkLines refuses folded lines and bare line feeds: what filters a header
// line by line must not leave half of one.
func checkLines(block []byte) error {
	if bytes.Count(block, []byte("\n")) != bytes.Count(block, []byte("\r\n")) {
		return errors.New("header line does not end in CRLF")
	}
	if bytes.Contains(block, []byte("\n ")) || bytes.Contains(block, []byte("\n\t")) {
		return errors.New("folded header line")
	}
	return nil
}

// RawHeader is the header of the answer as it arrived, status line and blank
// line included. It is valid until Close.
func (x *Exchange) RawHeader() []byte { return x.conn.raw }

func (x *Exchange) startBody(head bool, status int) error {
	noBody := head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	if noBody || x.resp.Header.ContentLength() == 0 {
		x.bodyDone = true
		return nil
	}
	if err := x.resp.ReadBody(x.conn.br, 0); err != nil {
		return failure(ErrTruncated, err)
	}
	x.body = x.resp.BodyStream()
	return nil
}

// Drain reads the rest of the answer's body and drops it.
func (x *Exchange) Drain() error {
	_, err := io.Copy(io.Discard, x)
	return err
}

// Value returns a header line of the answer, whatever the case of its name;
// "" when there is none or name is empty.
func (x *Exchange) Value(name string) string {
	for n, v := range x.resp.Header.All() {
		if name != "" && strings.EqualFold(string(n), name) {
			return string(v)
		}
	}
	return ""
}

// Skip reads an answer that belongs to another request to its end, so that
// ReadHeader reads the next one. The connection is not kept afterwards.
func (x *Exchange) Skip() error {
	x.skipped = true
	if err := x.Drain(); err != nil {
		return err
	}
	_ = x.resp.CloseBodyStream()
	x.resp.Reset()
	x.prepare()
	x.body, x.bodyDone = nil, false
	return nil
}

// Header is the header of the answer after ReadHeader, and with the trailers
// after the end of the body.
func (x *Exchange) Header() *fasthttp.ResponseHeader { return &x.resp.Header }

// HasBody is true when the answer has a body that was not read to its end.
func (x *Exchange) HasBody() bool { return !x.bodyDone }

// Read reads the body. It ends with io.EOF only when the answer is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.bodyDone {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	// The codec wraps io.EOF in errors that mean a body cut short.
	if err == io.EOF { //nolint:errorlint // only the bare value is the end
		x.bodyDone = true
		return n, io.EOF
	}
	if err != nil {
		err = failure(ErrTruncated, err)
	}
	return n, err
}

// Cancel closes the connection of an exchange that has not ended. It is safe
// for concurrent use.
func (x *Exchange) Cancel() {
	if x.state.CompareAndSwap(exchangeOpen, exchangeCancelled) {
		x.conn.nc.Close()
	}
}

// Close ends the exchange. The connection is kept only when the request and
// the answer were whole, both sides allow it, and nothing more has arrived.
func (x *Exchange) Close() {
	cancelled := !x.state.CompareAndSwap(exchangeOpen, exchangeEnded)
	cn := x.conn
	keep := !cancelled && !x.skipped && x.whole && x.bodyDone && !x.resp.Header.ConnectionClose() && cn.br.Buffered() == 0
	_ = x.resp.CloseBodyStream()
	if limit, ok := keepAlive(&x.resp.Header); ok {
		cn.keepFor = limit
	}
	fasthttp.ReleaseResponse(x.resp)
	x.resp, x.body = nil, nil
	if !keep {
		cn.discard()
		return
	}
	cn.reused = true
	cn.target.put(cn, x.client.opts.Clock.Now())
}
