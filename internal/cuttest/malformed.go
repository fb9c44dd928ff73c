package cuttest

import (
	"fmt"
	"testing"
)

// malformed are responses with a body that are not HTTP/1.1, but that a parser that
// repairs what it reads may accept.
func (s *Server) malformed(body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	rest := fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", s.HeaderLine, len(body), body)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	chunked := ok + s.HeaderLine + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
	return map[string]string{
		"status 000":                   "HTTP/1.1 000 OK\r\n" + rest,
		"no space after the status":    "HTTP/1.1 200\r\n" + rest,
		"HTTP/1.2":                     "HTTP/1.2 200 OK\r\n" + rest,
		"NUL in the reason":            "HTTP/1.1 200 O\x00\r\n" + rest,
		"control byte in the reason":   "HTTP/1.1 200 O\x01\r\n" + rest,
		"blank in a name":              ok + "X A: 1\r\n" + rest,
		"blank before a colon":         ok + "X-A : 1\r\n" + rest,
		"control byte in a name":       ok + "X\x01A: 1\r\n" + rest,
		"control byte in a value":      ok + "X-A: \x01\r\n" + rest,
		"line feed alone":              "HTTP/1.1 200 OK\n" + rest,
		"folded line":                  ok + "X-A: 1\r\n 2\r\n" + rest,
		"two lengths":                  ok + fmt.Sprintf("Content-Length: %d\r\n", len(body)) + rest,
		"blank in the length's name":   ok + fmt.Sprintf("%s\r\nContent-Length : %d\r\n\r\n%s", s.HeaderLine, len(body), body),
		"blank in the coding's name":   ok + s.HeaderLine + "\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"length and chunks":            ok + s.HeaderLine + "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"blank in an interim name":     "HTTP/1.1 103 Hints\r\nX A: 1\r\n\r\n" + ok + rest,
		"NUL in an interim reason":     "HTTP/1.1 103 \x00\r\n\r\n" + ok + rest,
		"blank in a trailer's name":    chunked + "X A: 1\r\n\r\n",
		"no colon in a trailer":        chunked + "X-A\r\n\r\n",
		"control byte in a trailer":    chunked + "X-A: \x01\r\n\r\n",
		"blank before trailer's colon": chunked + "X-A : 1\r\n\r\n",
	}
}

// AnswerAlways makes the server write the same bytes in answer to each request.
func (s *Server) AnswerAlways(response string) { s.set(response, false) }

// CheckMalformed makes a call for each of many responses that are not HTTP/1.1 and fails
// the test when one gives a result.
func (s *Server) CheckMalformed(t *testing.T, body string, call func() (any, error)) {
	t.Helper()
	s.set(Length.response(s.HeaderLine, body), false)
	if _, err := call(); err != nil {
		t.Fatalf("a sound response gives %v; expected a result", err)
	}
	for name, response := range s.malformed(body) {
		s.set(response, false)
		if got, err := call(); err == nil {
			t.Errorf("%s: %.300q gives %v; expected an error", name, response, got)
		}
	}
}
