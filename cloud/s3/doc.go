// Package s3 implements cloud.ObjectStore over the published S3 REST protocol,
// with path-style addresses and one bucket. The SDK's retries are disabled and
// Options.Timeout bounds every call. A Put that fails after it was sent and
// without a 4xx response returns cloud.ErrUncertain; it is safe to put the same
// body again.
package s3
