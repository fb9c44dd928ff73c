package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/dialect"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/table"
)

var headerSeeds = []string{
	getSpec, postOrder, keyedOrder, lookup,
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX: 1\r\n 2\r\n\r\n",
	"GET http://h?a HTTP/1.1\r\nHost: h\r\nConnection: X-Y, close\r\nX-Y: 1\r\n\r\n",
	"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\nX: 1\r\n\r\n",
	"PUT /a HTTP/1.1\r\nhost:h\r\nchestnut-deadline-ms: 5\r\nTRAILER: X-A\r\ntransfer-encoding: CHUNKED\r\n\r\n",
}

// FuzzInboundHeader checks that every accepted header is forwarded as one
// that net/http reads in the same way, with one body framing and no forged
// internal header.
func FuzzInboundHeader(f *testing.F) {
	for _, seed := range headerSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReaderSize(bytes.NewReader(raw), 16<<10)) != nil {
			return
		}
		in, p := parseInbound(&h, newHeaderNames(dialect.Default()))
		if p != nil {
			return
		}
		c := &call{server: &Server{names: newHeaderNames(dialect.Default())}, in: in, match: router.Match{Route: &table.Route{}}, machine: attempt.New(attempt.Config{})}
		c.server.opts, _ = Options{Tables: &tablesFake{}, Balancer: &orderedBalancer{}}.withDefaults()
		c.deadline = c.now().Add(time.Hour)
		c.body.length = in.length
		head := c.head(&upstreamAttempt{number: 1, picked: &orderedAttempt{}})
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			t.Fatalf("another parser refuses %q: %v", head, err)
		}
		if req.Method != in.method || req.RequestURI != in.target {
			t.Fatalf("%q reads as %s %s", head, req.Method, req.RequestURI)
		}
		if req.ContentLength != in.length || len(req.TransferEncoding) > 1 {
			t.Fatalf("%q has length %d, want %d", head, req.ContentLength, in.length)
		}
		checkForwarded(t, req.Header, head)
	})
}

// FuzzCredentials checks that a request on a route of tables with workspaces is
// forwarded without keys and with the name of its workspace alone, however the
// caller spells and repeats them.
func FuzzCredentials(f *testing.F) {
	for _, lines := range []string{
		key1, key1 + "\r\n" + key1, "authorization:token k1\r\nTENANT_name: bolt\r\nTenant-Name: bolt", "Connection: tenant-name, authorization\r\n" + key1,
		"Authorization: Token\tk1\r\nTrailer: tenant_name,X-A\r\nTransfer-Encoding: chunked", "Authorization: Basic x\r\n" + key1, "X: Authorization: Token k1",
	} {
		f.Add([]byte(get(spec, lines, "", "")))
	}
	d := tenantDialect()
	s := &Server{names: newHeaderNames(d)}
	s.opts, _ = Options{Tables: &tablesFake{}, Balancer: &orderedBalancer{}}.withDefaults()
	routes := router.Compile(&table.Tables{Workspaces: map[string]table.Workspace{"acme": workspace("acme", "k1")}})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReaderSize(bytes.NewReader(raw), 16<<10)) != nil {
			return
		}
		in, p := parseInbound(&h, s.names)
		if p != nil {
			return
		}
		m := router.Match{Route: &table.Route{Public: true}}
		if p := s.authorize(routes, in, &m); p != nil {
			t.Fatalf("a public route refuses: %s", p.detail)
		}
		c := &call{server: s, in: in, match: m, deadline: s.opts.Clock.Now().Add(time.Hour)}
		c.body.length = in.length
		head := c.head(&upstreamAttempt{number: 1, picked: &orderedAttempt{}, workspace: in.access.workspaceName()})
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			t.Fatalf("another parser refuses %q: %v", head, err)
		}
		var names, sentKeys []string
		for name, values := range h.All() {
			if strings.EqualFold(string(name), "authorization") {
				sentKeys = append(sentKeys, string(values))
			}
		}
		for name, values := range req.Header {
			switch strings.ToLower(strings.ReplaceAll(name, "_", "-")) {
			case "authorization":
				t.Fatalf("%q carries a key", head)
			case "tenant-name":
				names = append(names, values...)
			}
		}
		valid := len(sentKeys) == 1 && len(strings.Fields(sentKeys[0])) == 2 && strings.EqualFold(strings.Fields(sentKeys[0])[0], "Token") && strings.Fields(sentKeys[0])[1] == "k1"
		if valid && (len(names) != 1 || names[0] != "acme") || !valid && len(names) > 0 {
			t.Fatalf("%q names the workspaces %q for the keys %q", head, names, sentKeys)
		}
	})
}

func checkForwarded(t *testing.T, h http.Header, head []byte) {
	for name := range h {
		kind := kindOf([]byte(name))
		own := name == dialect.Default().Deadline || name == dialect.Default().Retries
		if !kind.endToEnd() && !own && kind != lineContentLength && kind != lineTrailer {
			t.Fatalf("%q carries %s", head, name)
		}
	}
	if len(h[dialect.Default().Deadline]) != 1 || len(h[dialect.Default().Retries]) > 1 {
		t.Fatalf("%q carries a forged deadline or retry allowance", head)
	}
}

// FuzzChunkedBody checks that an accepted chunked body is the body that
// net/http reads.
func FuzzChunkedBody(f *testing.F) {
	for _, seed := range []string{
		"4\r\ntube\r\n0\r\n\r\n", "4;a=b\r\ntube\r\n0\r\nX-A: 1\r\n\r\n", "4\ntube\r\n0\r\n\r\n", "04\r\ntube\r\n0\r\n\r\n",
		"-1\r\n", "ffffffffffffffff\r\n", "4\r\ntubes\r\n0\r\n\r\n", "0\r\nContent-Length: 1\r\n\r\n", "4 \r\ntube\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, raw []byte) {
		var req fasthttp.Request
		br := bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(raw)))
		if req.Header.Read(br) != nil || req.ContinueReadBodyStream(br, 1) != nil {
			return
		}
		ours, err := io.ReadAll(req.BodyStream())
		if err != nil {
			return
		}
		other, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(raw))))
		if err != nil {
			t.Fatal(err)
		}
		theirs, err := io.ReadAll(other.Body)
		if err != nil && !bytes.HasPrefix(ours, theirs) || err == nil && !bytes.Equal(ours, theirs) {
			t.Fatalf("%q reads as %q here and as %q, %v elsewhere", raw, ours, theirs, err)
		}
	})
}

// FuzzResponseHeader checks that filtering a response header removes the
// hop-by-hop lines and nothing else.
func FuzzResponseHeader(f *testing.F) {
	for _, seed := range []string{okResponse, notRunResponse, "HTTP/1.0 200\r\nConnection: X-A,close\r\nX-A: 1\r\nKeep-Alive: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection : X-A\r\nX-A : 1\r\nkeep-alive\t: 2\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		end := bytes.Index(raw, []byte("\r\n\r\n"))
		if bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t")) ||
			bytes.Count(raw, []byte("\n")) != bytes.Count(raw, []byte("\r\n")) {
			return // refused by package upstream
		}
		var h, kept fasthttp.ResponseHeader
		if end < 0 || !bytes.HasPrefix(raw, []byte("HTTP/1.")) || h.Read(bufio.NewReaderSize(bytes.NewReader(raw), 16<<10)) != nil {
			return
		}
		filtered := filterResponseHeader(nil, raw[:end+4], "")
		if err := kept.Read(bufio.NewReaderSize(bytes.NewReader(filtered), 16<<10)); err != nil {
			t.Fatalf("%q became %q: %v", raw, filtered, err)
		}
		if kept.StatusCode() != h.StatusCode() {
			t.Fatalf("%q became %q", raw, filtered)
		}
		kept.ResetConnectionClose()
		for name := range kept.All() {
			if strippedFromResponse(name) {
				t.Fatalf("%q keeps %s", filtered, name)
			}
		}
	})
}
