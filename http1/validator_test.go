package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

const ok = "HTTP/1.1 200 OK\r\n"

// valid are streams of complete responses.
var valid = map[string]string{
	"a length":              ok + "Content-Length: 4\r\n\r\ndone",
	"no reason phrase":      "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
	"a reason in UTF-8":     "HTTP/1.1 299 F\xc3\xa9\tok\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
	"until the close":       ok + "Server: a\r\n\r\nany\x00bytes\n\n",
	"no space in a line":    ok + "content-length:4\r\n\r\ndone",
	"spaces around a value": ok + "Content-Length: \t 4 \t\r\n\r\ndone",
	"an empty value":        ok + "X-A:\r\nContent-Length: 0\r\n\r\n",
	"chunks":                ok + "Transfer-Encoding: Chunked\r\n\r\n4\r\ndone\r\nA;x=y;z=\"a;\\\"b\"\r\n0123456789\r\n0\r\n\r\n",
	"a trailer":             ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 7\r\n\r\n",
	"interim responses":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx",
	"204":                   "HTTP/1.1 204 None\r\n\r\n",
	"304 with a length":     "HTTP/1.1 304 Same\r\nContent-Length: 400\r\n\r\n",
	"two responses":         ok + "Content-Length: 1\r\n\r\nx" + "HTTP/1.1 599 Odd\r\nContent-Length: 1\r\n\r\ny",
}

// invalid are streams with the reason for which they are rejected.
var invalid = map[string]struct {
	stream string
	reason Reason
}{
	"status 000":                   {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", Status},
	"status 099":                   {"HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n", Status},
	"status 600":                   {"HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n", Status},
	"status of two digits":         {"HTTP/1.1 20 OK\r\n\r\n", Status},
	"status of four digits":        {"HTTP/1.1 2000 OK\r\n\r\n", ReasonPhrase},
	"a sign in the status":         {"HTTP/1.1 +20 OK\r\n\r\n", Status},
	"status 101":                   {"HTTP/1.1 101 Switching\r\n\r\n", Status},
	"two spaces before the status": {"HTTP/1.1  200 OK\r\n\r\n", Status},
	"no space after the status":    {"HTTP/1.1 200\r\n\r\n", ReasonPhrase},
	"a NUL in the reason":          {"HTTP/1.1 200 O\x00\r\n\r\n", ReasonPhrase},
	"a CR in the reason":           {"HTTP/1.1 200 O\rK\r\n\r\n", ReasonPhrase},
	"a DEL in the reason":          {"HTTP/1.1 200 O\x7f\r\n\r\n", ReasonPhrase},
	"HTTP/1.2":                     {"HTTP/1.2 200 OK\r\n\r\n", Version},
	"HTTP/2.0":                     {"HTTP/2.0 200 OK\r\n\r\n", Version},
	"lower case":                   {"http/1.1 200 OK\r\n\r\n", Version},
	"a byte in the version":        {"HT\x00P/1.1 200 OK\r\n\r\n", Version},
	"an empty line first":          {"\r\n" + ok + "\r\n", Version},
	"no status line":               {"Content-Length: 0\r\n\r\n", Version},
	"no HTTP":                      {"spoilt", Version},
	"a line feed alone":            {"HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n", LineEnd},
	"a blank line of a line feed":  {ok + "Content-Length: 0\r\n\n", LineEnd},
	"a blank in a name":            {ok + "Server Load: 1\r\n\r\n", FieldName},
	"a blank before the colon":     {ok + "Server-Load : 1\r\n\r\n", FieldName},
	"a blank in the length's name": {ok + "Content-Length : 0\r\n\r\n", FieldName},
	"a blank in the coding's name": {ok + "Transfer-Encoding : chunked\r\n\r\n", FieldName},
	"a control byte in a name":     {ok + "Server\x01Load: 1\r\n\r\n", FieldName},
	"a byte above ASCII in a name": {ok + "S\xc3\xa9: 1\r\n\r\n", FieldName},
	"an empty name":                {ok + ": 1\r\n\r\n", FieldName},
	"no colon":                     {ok + "Server-Load\r\n\r\n", FieldName},
	"a folded line":                {ok + "X-A: 1\r\n 2\r\n\r\n", FieldName},
	"a NUL in a value":             {ok + "X-A: \x00\r\n\r\n", FieldValue},
	"a CR in a value":              {ok + "X-A: 1\r2\r\n\r\n", FieldValue},
	"two lengths":                  {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", Framing},
	"a list of lengths":            {ok + "Content-Length: 1, 1\r\n\r\n", Framing},
	"a signed length":              {ok + "Content-Length: +1\r\n\r\n", Framing},
	"a negative length":            {ok + "Content-Length: -1\r\n\r\n", Framing},
	"an empty length":              {ok + "Content-Length:\r\n\r\n", Framing},
	"a length beyond 62 bits":      {ok + "Content-Length: 9223372036854775807\r\n\r\n", Framing},
	"length and chunks":            {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Framing},
	"two codings":                  {ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", Framing},
	"another coding":               {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", Framing},
	"chunks in HTTP/1.0":           {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Framing},
	"204 with a body":              {"HTTP/1.1 204 None\r\nContent-Length: 1\r\n\r\n", Framing},
	"100 with chunks":              {"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n", Framing},
	"a blank in an interim name":   {"HTTP/1.1 103 Hints\r\nLi nk: a\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", FieldName},
	"a NUL in an interim reason":   {"HTTP/1.1 103 \x00\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", ReasonPhrase},
	"no chunk size":                {ok + "Transfer-Encoding: chunked\r\n\r\n\r\n", Chunk},
	"a blank before a chunk size":  {ok + "Transfer-Encoding: chunked\r\n\r\n 4\r\ndone\r\n0\r\n\r\n", Chunk},
	"a chunk size of 16 digits":    {ok + "Transfer-Encoding: chunked\r\n\r\n0000000000000004\r\n", Chunk},
	"a blank before an extension":  {ok + "Transfer-Encoding: chunked\r\n\r\n4 ;a\r\n", Chunk},
	"an extension without a name":  {ok + "Transfer-Encoding: chunked\r\n\r\n4;\r\n", Chunk},
	"an extension with a NUL":      {ok + "Transfer-Encoding: chunked\r\n\r\n4;a=\"\x00\"\r\n", Chunk},
	"an unfinished extension":      {ok + "Transfer-Encoding: chunked\r\n\r\n4;a=\"b\r\n", Chunk},
	"a chunk without its end":      {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone0\r\n\r\n", Chunk},
	"a line feed after a chunk":    {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\n0\r\n\r\n", LineEnd},
	"a blank in a trailer's name":  {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 7\r\n\r\n", FieldName},
	"a NUL in a trailer's value":   {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: \x00\r\n\r\n", FieldValue},
	"a length in the trailer":      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 7\r\n\r\n", Framing},
	"a header line without end":    {ok + "X-A: " + strings.Repeat("a", maxHeadBytes), TooLarge},
	"too many header lines":        {ok + strings.Repeat("X-A: 1\r\n", maxHeadLines+1) + "\r\n", TooLarge},
	"a long chunk extension":       {ok + "Transfer-Encoding: chunked\r\n\r\n4;" + strings.Repeat("a", maxChunkLineBytes), TooLarge},
	"bytes after a response":       {ok + "Content-Length: 4\r\n\r\ndonemore", Version},
	"bytes after a 204":            {"HTTP/1.1 204 None\r\n\r\nmore", Version},
}

// writeInParts writes a stream to a new Validator in parts of n bytes.
func writeInParts(stream string, n int) (accepted int, err error) {
	var v Validator
	for p := []byte(stream); len(p) > 0; p = p[min(n, len(p)):] {
		taken, err := v.Write(p[:min(n, len(p))])
		accepted += taken
		if err != nil {
			return accepted, err
		}
	}
	return accepted, nil
}

// Guards against valid responses that are rejected.
func TestValidResponsesAreAccepted(t *testing.T) {
	for name, stream := range valid {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			for _, n := range []int{1, 2, 7, len(stream)} {
				accepted, err := writeInParts(stream, n)
				Expect(err).NotTo(HaveOccurred())
				Expect(accepted).To(Equal(len(stream)))
			}
		})
	}
}

// Guards against bytes that are not a response and are passed on as one.
func TestInvalidResponsesAreRejectedForTheirReason(t *testing.T) {
	for name, c := range invalid {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			for _, n := range []int{1, 2, 7, len(c.stream)} {
				accepted, err := writeInParts(c.stream, n)
				var malformed *Error
				Expect(errors.As(err, &malformed)).To(BeTrue(), "accepted %d of %d bytes", accepted, len(c.stream))
				Expect(malformed.Reason).To(Equal(c.reason), malformed.Detail)
			}
		})
	}
}

// Guards against a parser that takes a rejected response for a whole one, because
// enough of it was passed on.
func TestNoParserGetsARejectedResponse(t *testing.T) {
	for name, c := range invalid {
		if strings.HasPrefix(name, "bytes after") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			for _, part := range []int{1, 3, 1 << 20} {
				src := func() *bufio.Reader {
					return bufio.NewReaderSize(NewReader(&partReader{strings.NewReader(c.stream), part}, nil), 2*maxHeadBytes)
				}
				response, err := http.ReadResponse(src(), nil)
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				Expect(err).To(HaveOccurred())
				var other fasthttp.Response
				Expect(other.Read(src())).NotTo(Succeed())
			}
		})
	}
}

// partReader reads at most n bytes at a time.
type partReader struct {
	io.Reader
	n int
}

func (r *partReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(r.n, len(p))]) }

// Guards against the body of a response to HEAD that is taken for the next response.
func TestResponseToHEADHasNoBody(t *testing.T) {
	RegisterTestingT(t)
	var v Validator
	v.ExpectHEAD(true)
	n, final, err := v.Step([]byte(ok + "Content-Length: 400\r\n\r\n"))
	Expect(err).NotTo(HaveOccurred())
	Expect(final).To(BeTrue())
	Expect(n).To(Equal(len(ok + "Content-Length: 400\r\n\r\n")))
	_, err = v.Write([]byte("done"))
	Expect(err).To(HaveOccurred())
}

// Guards against bytes that are accepted after others were rejected.
func TestNothingIsAcceptedAfterARejection(t *testing.T) {
	RegisterTestingT(t)
	var v Validator
	_, err := v.Write([]byte("HTTP/1.1 000 None\r\n"))
	Expect(err).To(HaveOccurred())
	n, again := v.Write([]byte(valid["a length"]))
	Expect(n).To(BeZero())
	Expect(again).To(Equal(err))
}

// Guards against stored responses that can't be sent.
func TestStoredResponsesAreChecked(t *testing.T) {
	RegisterTestingT(t)
	Expect(CheckRecorded(200, [][2]string{{"X-A", "1"}})).To(Succeed())
	for _, status := range []int{-1, 0, 100, 101, 199, 600, 1000} {
		Expect(CheckRecorded(status, nil)).NotTo(Succeed(), "%d", status)
	}
	for _, line := range [][2]string{{"X A", "1"}, {"X-A ", "1"}, {"", "1"}, {"X-A", "1\r\nX-B: 2"}, {"X-A", "\x00"}, {"Content-Length", "1"}, {"transfer-encoding", "chunked"}} {
		Expect(CheckRecorded(200, [][2]string{line})).NotTo(Succeed(), "%q", line)
	}
}

// FuzzResponses checks that the decision does not depend on how the bytes arrive and
// that both parsers in use read an accepted response alike.
func FuzzResponses(f *testing.F) {
	for _, stream := range valid {
		f.Add([]byte(stream), uint8(3))
	}
	for _, c := range invalid {
		f.Add([]byte(c.stream), uint8(1))
	}
	f.Fuzz(func(t *testing.T, stream []byte, part uint8) {
		whole, wholeErr := writeInParts(string(stream), max(1, len(stream)))
		parts, partsErr := writeInParts(string(stream), int(part)+1)
		if (wholeErr == nil) != (partsErr == nil) {
			t.Fatalf("whole: %d bytes, %v; in parts: %d bytes, %v", whole, wholeErr, parts, partsErr)
		}
		var v Validator
		n, final, err := v.Step(stream)
		if err == nil && final && !v.head.interim() {
			checkParsers(t, stream[:n], v.head)
		}
	})
}

// checkParsers checks that both parsers read a complete response alike.
func checkParsers(t *testing.T, response []byte, want head) {
	std := bufio.NewReaderSize(bytes.NewReader(response), 2*maxHeadBytes)
	var a *http.Response
	for a == nil || a.StatusCode < http.StatusOK {
		var err error
		if a, err = http.ReadResponse(std, nil); err != nil {
			t.Fatalf("net/http rejects %q: %v", response, err)
		}
	}
	bodyA, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatalf("net/http rejects the body of %q: %v", response, err)
	}
	fast := bufio.NewReaderSize(bytes.NewReader(response), 2*maxHeadBytes)
	var b fasthttp.Response
	for first := true; first || b.StatusCode() < http.StatusOK; first = false {
		if err := b.Read(fast); err != nil {
			if strings.Contains(err.Error(), "trailer") {
				return // fasthttp rejects more trailers, which is safe.
			}
			t.Fatalf("fasthttp rejects %q: %v", response, err)
		}
	}
	if a.StatusCode != want.status || !bytes.Equal(bodyA, b.Body()) {
		t.Fatalf("of %q net/http reads status %d and %q, fasthttp %d and %q; expected status %d", response, a.StatusCode, bodyA, b.StatusCode(), b.Body(), want.status)
	}
	if rest, _ := io.ReadAll(std); len(rest) > 0 {
		t.Fatalf("net/http leaves %q of %q", rest, response)
	}
	if rest, _ := io.ReadAll(fast); len(rest) > 0 {
		t.Fatalf("fasthttp leaves %q of %q", rest, response)
	}
}
