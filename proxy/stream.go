package proxy

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/upstream"
)

const copyBufferBytes = 32 << 10

// errCallerBody: reading the caller's body failed while it was forwarded.
var errCallerBody = errors.New("reading the caller's request body failed")

// sendStreamed sends a body while it arrives. It reads the response at the
// same time: an upstream may refuse before the body is complete.
func (c *call) sendStreamed(t *upstreamAttempt, x *upstream.Exchange) error {
	sent := make(chan error, 1)
	var answered atomic.Bool
	go func() {
		err := c.streamBody(t, x)
		if errors.Is(err, errCallerBody) && !answered.Load() {
			x.Cancel()
		}
		sent <- err
	}()
	headerErr := c.readMatchingHeader(x)
	answered.Store(headerErr == nil)
	// A failure of the caller's body is stored before it cancels the
	// exchange.
	bodyFailed := c.bodyFailed.Load()
	accepted := headerErr == nil && x.Header().StatusCode() < fasthttp.StatusBadRequest
	if !accepted {
		x.StopWriting()
		if !c.body.replayable() {
			c.stopReading()
		}
	}
	// Without the rest of the body, the target's answer stands: the request has run.
	sendErr := <-sent
	t.requestSent = sendErr == nil
	if headerErr != nil {
		c.overrideReply = bodyFailed
	}
	return headerErr
}

// streamBody writes the header, and the body while it arrives.
func (c *call) streamBody(t *upstreamAttempt, x *upstream.Exchange) error {
	w := x.Writer()
	if _, err := w.Write(c.head(t)); err != nil {
		return errors.WithStack(err)
	}
	if err := c.writeChunk(w, c.body.buffered); err != nil {
		return err
	}
	if err := c.streamRest(w); err != nil {
		return err
	}
	if c.body.length == unknownLength {
		if _, err := w.WriteString("0\r\n" + c.trailerLines()); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	x.MarkRequestSent()
	return nil
}

// streamRest writes the part of the body that is not buffered while it arrives.
func (c *call) streamRest(w *bufio.Writer) error {
	if c.body.replayable() {
		return nil
	}
	buf := make([]byte, copyBufferBytes)
	total := int64(len(c.body.buffered))
	for {
		n, err := c.body.rest.Read(buf)
		if total += int64(n); c.bodyOverLimit(total) {
			c.bodyFailed.Store(bodyTooLarge())
			return errors.WithMessage(errCallerBody, "body exceeds the configured limit")
		}
		if werr := c.writeChunk(w, buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			c.bodyFailed.Store(bodyReadFailure(err))
			return errors.WithMessage(errCallerBody, err.Error())
		}
	}
}

// writeChunk writes and flushes a part of the body, as a chunk when the
// length is unknown.
func (c *call) writeChunk(w *bufio.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	chunked := c.body.length == unknownLength
	if chunked {
		_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	_, _ = w.Write(p)
	if chunked {
		_, _ = w.WriteString("\r\n")
	}
	return errors.WithStack(w.Flush())
}

// trailerLines returns the caller's trailers, without those that callers may
// not send, and the blank line that ends them.
func (c *call) trailerLines() string {
	if c.body.trailers == nil {
		return "\r\n"
	}
	var out strings.Builder
	for _, line := range bytes.SplitAfter(c.body.trailers(), []byte("\r\n")) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && c.forwardsTrailer(name) {
			out.Write(line)
		}
	}
	out.WriteString("\r\n")
	return out.String()
}
