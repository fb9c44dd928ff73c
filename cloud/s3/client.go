package s3

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/http1"
)

const (
	// DefaultBucket holds all objects.
	DefaultBucket = "chestnutfield"
	// DefaultTimeout is the default limit on the duration of one call,
	// including the transfer of the body.
	DefaultTimeout = 3 * time.Second
	// MaxObjectBytes is the maximum length of a body that is read or written.
	MaxObjectBytes = 4 << 20

	region = "local"
)

// Options configures a Client.
type Options struct {
	// Endpoint is the base URL of the store.
	Endpoint string
	// Bucket is the bucket's name; "" means DefaultBucket.
	Bucket string
	// Timeout limits the duration of one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Responses counts and logs the responses that are not HTTP/1.1; nil does neither.
	Responses *http1.Monitor
}

// Client implements cloud.ObjectStore. It is safe for concurrent use.
type Client struct {
	api     *s3.Client
	bucket  *string
	timeout time.Duration
}

var _ cloud.ObjectStore = (*Client)(nil)

// New returns a Client. It does not contact the store.
func New(o Options) *Client {
	o.Bucket = cmp.Or(o.Bucket, DefaultBucket)
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	return &Client{
		api: s3.New(s3.Options{
			Region:       region,
			BaseEndpoint: aws.String(o.Endpoint),
			Credentials:  credentials.NewStaticCredentialsProvider("chestnutfield", "chestnutfield", ""),
			Retryer:      aws.NopRetryer{},
			UsePathStyle: true,
			HTTPClient: cloud.RequireFraming(awshttp.NewBuildableClient().WithTransportOptions(func(t *http.Transport) {
				t.Proxy = nil
				http1.Guard(t, http1.ObjectStore, o.Responses)
			})),
		}),
		bucket:  aws.String(o.Bucket),
		timeout: o.Timeout,
	}
}

// Put implements cloud.ObjectStore. A body longer than MaxObjectBytes is an
// error.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	if len(body) > MaxObjectBytes {
		return errors.Errorf("put %s: not sent: body has %d bytes, the maximum is %d", key, len(body), MaxObjectBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket: c.bucket, Key: aws.String(key), Body: bytes.NewReader(body),
		ContentLength: aws.Int64(int64(len(body))),
	})
	if err == nil {
		return nil
	}
	if statusCode(err)/100 == 4 || cloud.IsDialError(err) {
		return errors.Wrapf(cloud.ErrUnavailable, "put %s: %v", key, err)
	}
	return errors.Wrapf(cloud.ErrUncertain, "put %s: %v", key, err)
}

// Get implements cloud.ObjectStore. A body longer than MaxObjectBytes is an
// error.
func (c *Client) Get(ctx context.Context, key string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetObject(ctx, &s3.GetObjectInput{Bucket: c.bucket, Key: aws.String(key)})
	if statusCode(err) == http.StatusNotFound {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, errors.Wrapf(cloud.ErrUnavailable, "get %s: %v", key, err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(io.LimitReader(out.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, false, errors.Wrapf(cloud.ErrUnavailable, "get %s: %v", key, err)
	}
	if len(body) > MaxObjectBytes {
		return nil, false, errors.Errorf("get %s: body rejected: longer than the maximum of %d bytes", key, MaxObjectBytes)
	}
	return body, true, nil
}

// statusCode returns the HTTP status of the error response in err, or 0 if there
// was no response.
func statusCode(err error) int {
	var response *awshttp.ResponseError
	if errors.As(err, &response) {
		return response.HTTPStatusCode()
	}
	return 0
}
