package proxy

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/upstream"
)

const copyBytes = 32 << 10

// errCallerBody: the caller's body failed while it was sent on.
var errCallerBody = errors.New("caller's body failed")

// sendStreamed sends a body while it arrives. The answer is read at the same
// time: an upstream may refuse before the body is complete.
func (c *call) sendStreamed(t *try, x *upstream.Exchange) error {
	sent := make(chan error, 1)
	go func() {
		err := c.copyBody(t, x)
		if errors.Is(err, errCallerBody) {
			x.Cancel()
		}
		sent <- err
	}()
	headerErr := c.readOwn(x)
	// A failure of the caller's body is noted before it cancels the exchange.
	bodyFailed := c.bodyFailed.Load()
	accepted := headerErr == nil && x.Header().StatusCode() < fasthttp.StatusBadRequest
	if !accepted {
		x.StopWriting()
		c.stopReading()
	}
	sendErr := <-sent
	t.sentWhole = sendErr == nil
	if accepted && errors.Is(sendErr, errCallerBody) {
		c.refusal = c.bodyFailed.Load()
		return sendErr
	}
	if headerErr != nil {
		c.refusal = bodyFailed
	}
	return headerErr
}

// copyBody writes the header and the body as it arrives.
func (c *call) copyBody(t *try, x *upstream.Exchange) error {
	w := x.Writer()
	if _, err := w.Write(c.head(t)); err != nil {
		return errors.WithStack(err)
	}
	if err := c.writePiece(w, c.body.held); err != nil {
		return err
	}
	buf := make([]byte, copyBytes)
	total := int64(len(c.body.held))
	for {
		n, err := c.body.rest.Read(buf)
		if total += int64(n); c.tooLong(total) {
			c.bodyFailed.Store(bodyTooLarge())
			return errors.WithMessage(errCallerBody, "over the limit")
		}
		if werr := c.writePiece(w, buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			c.bodyFailed.Store(bodyProblem(err))
			return errors.WithMessage(errCallerBody, err.Error())
		}
	}
	if c.body.length == unknownLength {
		if _, err := w.WriteString("0\r\n" + c.trailerLines()); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	x.SentWhole()
	return nil
}

// writePiece writes a part of the body, as a chunk when the length is not
// known, and sends it.
func (c *call) writePiece(w *bufio.Writer, p []byte) error {
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

// trailerLines are the caller's trailers with the blank line that ends them,
// without those that callers may not send.
func (c *call) trailerLines() string {
	if c.body.trailers == nil {
		return "\r\n"
	}
	var out strings.Builder
	for _, line := range bytes.SplitAfter(c.body.trailers(), []byte("\r\n")) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && kindOf(name) == lineOther {
			out.Write(line)
		}
	}
	out.WriteString("\r\n")
	return out.String()
}
