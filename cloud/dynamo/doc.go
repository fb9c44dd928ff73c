// Package dynamo implements cloud.Table over the published DynamoDB JSON
// protocol.
//
// All rows are in one table. Its primary key is pk (S) and sk (S); the other
// attributes are rev (N), writer (S), body (B) and ttl (N, Unix seconds). Only
// two condition expressions are used: attribute_not_exists(pk) and rev = :r.
//
// The SDK's retries are disabled and Options.Timeout bounds every request to the
// service, so that only the caller decides whether to retry. A failed write returns
// cloud.ErrUnavailable if it was certainly not applied, cloud.ErrUncertain if it
// may have been applied, and *cloud.ConditionError with the stored row if its
// condition failed.
package dynamo
