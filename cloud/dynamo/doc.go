// Package dynamo is the client of the table service: cloud.Table over the
// published DynamoDB JSON protocol.
//
// All rows live in one table. Its key is pk (S) and sk (S); the attributes are
// rev (N), writer (S), body (B) and ttl (N, unix seconds). Conditions take two
// forms only: attribute_not_exists(pk) and rev = :r.
//
// The SDK's own retries are off and every call is bounded by Options.Timeout,
// so that the caller alone decides whether to ask again. Errors say what is
// known of a write: cloud.ErrUnavailable when it was certainly not applied,
// cloud.ErrUncertain when it may have been, *cloud.ConditionError when a
// condition failed, with the row that stands there.
package dynamo
