package platformd

import (
	"crypto/md5" //nolint:gosec // The published protocol defines the ETag so.
	"encoding/hex"
	"encoding/xml"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	checksumPrefix = "x-amz-checksum-"
	chunkedCoding  = "aws-chunked"
)

// object is one stored object.
type object struct {
	body []byte
	etag string
	// checksums are the checksum headers and trailers of the PUT request.
	checksums []headerField
}

type headerField struct{ name, value string }

type objectStore struct {
	mu      sync.RWMutex
	objects map[string]object
}

func newObjectStore() *objectStore { return &objectStore{objects: map[string]object{}} }

func (s *objectStore) get(path string) (object, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.objects[path]
	return o, ok
}

func (s *objectStore) put(path string, o object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[path] = o
}

func (s *objectStore) remove(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, path)
}

// handleObject serves one call to the object store and reports whether it wrote.
func (s *Server) handleObject(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	bucket, key := splitObjectPath(path)
	switch {
	case bucket == "":
		writeObjectError(ctx, fasthttp.StatusNotImplemented, "NotImplemented", "the stand-in does not list buckets")
	case key == "" && (ctx.IsPut() || ctx.IsHead()):
		ctx.SetStatusCode(fasthttp.StatusOK)
	case key == "":
		writeObjectError(ctx, fasthttp.StatusNotImplemented, "NotImplemented", "the stand-in does not list objects")
	case ctx.IsPut():
		return s.putObject(ctx, path)
	case ctx.IsGet(), ctx.IsHead():
		s.getObject(ctx, path)
	case ctx.IsDelete():
		s.stats.add(access{operation: "DeleteObject", writes: 1})
		s.objects.remove(path)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return true
	default:
		writeObjectError(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed", "the stand-in knows PUT, GET, HEAD and DELETE")
	}
	return false
}

func (s *Server) putObject(ctx *fasthttp.RequestCtx, path string) bool {
	s.stats.add(access{operation: "PutObject", writes: 1})
	o := object{body: append([]byte(nil), ctx.PostBody()...)}
	for name, value := range ctx.Request.Header.All() {
		if n := strings.ToLower(string(name)); strings.HasPrefix(n, checksumPrefix) {
			o.checksums = append(o.checksums, headerField{n, string(value)})
		}
	}
	if strings.Contains(string(ctx.Request.Header.Peek("Content-Encoding")), chunkedCoding) {
		body, trailers, err := decodeChunked(ctx.PostBody())
		if err != nil {
			writeObjectError(ctx, fasthttp.StatusBadRequest, "IncompleteBody", err.Error())
			return false
		}
		o.body, o.checksums = body, append(o.checksums, trailers...)
	}
	if err := verifyChecksums(o); err != nil {
		writeObjectError(ctx, fasthttp.StatusBadRequest, "BadDigest", err.Error())
		return false
	}
	sum := md5.Sum(o.body) //nolint:gosec // The published protocol defines the ETag so.
	o.etag = `"` + hex.EncodeToString(sum[:]) + `"`
	s.objects.put(path, o)
	ctx.Response.Header.Set("ETag", o.etag)
	return true
}

func (s *Server) getObject(ctx *fasthttp.RequestCtx, path string) {
	s.stats.add(access{operation: "GetObject", reads: 1})
	o, ok := s.objects.get(path)
	if !ok {
		writeObjectError(ctx, fasthttp.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	ctx.Response.Header.Set("ETag", o.etag)
	for _, c := range o.checksums {
		ctx.Response.Header.Set(c.name, c.value)
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(o.body)
}

// objectError is the body of an error response of the object store.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeObjectError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/xml")
	body, err := xml.Marshal(objectError{Code: code, Message: message})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBodyString(xml.Header + string(body))
}
