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
)

const (
	// DefaultBucket holds all objects.
	DefaultBucket = "chestnutfield"
	// DefaultTimeout bounds one call, body included.
	DefaultTimeout = 3 * time.Second
	// MaxObjectBytes bounds a body that is read or written.
	MaxObjectBytes = 4 << 20

	region = "local"
)

// Options configures a Client.
type Options struct {
	// Endpoint is the base URL of the store.
	Endpoint string
	// Bucket is the bucket's name; "" is DefaultBucket.
	Bucket string
	// Timeout bounds one call; 0 is DefaultTimeout.
	Timeout time.Duration
}

// Client implements cloud.Objects. It is safe for concurrent use.
type Client struct {
	api     *s3.Client
	bucket  *string
	timeout time.Duration
}

var _ cloud.Objects = (*Client)(nil)

// New returns a Client. It makes no call.
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
			HTTPClient: awshttp.NewBuildableClient().WithTransportOptions(func(t *http.Transport) {
				t.Proxy = nil
			}),
		}),
		bucket:  aws.String(o.Bucket),
		timeout: o.Timeout,
	}
}

// Put implements cloud.Objects.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	if len(body) > MaxObjectBytes {
		return errors.Errorf("object %s of %d bytes, at most %d", key, len(body), MaxObjectBytes)
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
	if status(err)/100 == 4 || cloud.NeverSent(err) {
		return errors.Wrapf(cloud.ErrUnavailable, "put %s: %v", key, err)
	}
	return errors.Wrapf(cloud.ErrUncertain, "put %s: %v", key, err)
}

// Get implements cloud.Objects. A body longer than MaxObjectBytes is an
// error.
func (c *Client) Get(ctx context.Context, key string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetObject(ctx, &s3.GetObjectInput{Bucket: c.bucket, Key: aws.String(key)})
	if status(err) == http.StatusNotFound {
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
		return nil, false, errors.Errorf("object %s exceeds %d bytes", key, MaxObjectBytes)
	}
	return body, true, nil
}

// status is the HTTP status of an answer that is an error, 0 without one.
func status(err error) int {
	var answer *awshttp.ResponseError
	if errors.As(err, &answer) {
		return answer.HTTPStatusCode()
	}
	return 0
}
