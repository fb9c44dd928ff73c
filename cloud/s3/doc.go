// Package s3 is the client of the object store: cloud.Objects over the
// published S3 REST protocol, path style, one bucket. The SDK's own retries
// are off and every call is bounded by Options.Timeout. A Put that fails
// without a refusal is cloud.ErrUncertain; the same body may be put again.
package s3
