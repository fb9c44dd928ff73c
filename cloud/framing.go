package cloud

import (
	"net/http"

	"github.com/pkg/errors"
)

// HTTPClient sends requests to a service of the platform.
type HTTPClient interface {
	Do(r *http.Request) (*http.Response, error)
}

// RequireFraming returns a client that fails successful responses whose body has
// neither a length nor chunks: one that breaks off can't be told from a whole one, and
// an empty body would be an empty result.
func RequireFraming(c HTTPClient) HTTPClient { return framedClient{c} }

type framedClient struct{ HTTPClient }

// maxResponseBytes bounds a response, to protect the memory of the host: a page of rows
// has 1 MB, an object at most 4 MB.
const maxResponseBytes = 16 << 20

// Do implements HTTPClient.
func (c framedClient) Do(r *http.Request) (*http.Response, error) {
	response, err := c.HTTPClient.Do(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	}
	if err != nil || isFramed(response) || response.StatusCode >= http.StatusMultipleChoices {
		return response, err
	}
	_ = response.Body.Close()
	return nil, errors.Errorf("response with status %d has neither a Content-Length nor chunks; expected one of them", response.StatusCode)
}

// isFramed reports whether the end of a body shows in the response. HTTP/2 always has
// frames, and compressed data show their end.
func isFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.ProtoMajor > 1 || r.Uncompressed
}
