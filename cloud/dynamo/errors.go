package dynamo

import (
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

const codeConditionFailed = "ConditionalCheckFailed"

// platformError combines an error of package cloud (kind) with the SDK error
// that caused it. errors.Is and errors.As see both.
type platformError struct {
	kind  error
	cause error
}

func (e *platformError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *platformError) Unwrap() []error { return []error{e.kind, e.cause} }

// wrapReadError returns the error of a failed read. A read applies nothing, so
// that the kind is always cloud.ErrUnavailable.
func wrapReadError(err error) error { return &platformError{cloud.ErrUnavailable, err} }

// wrapWriteError returns the error of a failed write, by whether the write may
// have been applied. Only a response that rejects the request, or a failure to
// connect, proves that nothing was applied.
func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	var single *types.ConditionalCheckFailedException
	if errors.As(err, &single) {
		return conditionError(map[int]item{0: single.Item}, err)
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return cancelledError(cancelled, err)
	}
	if rejected(err) || cloud.IsDialError(err) {
		return &platformError{cloud.ErrUnavailable, err}
	}
	return &platformError{cloud.ErrUncertain, err}
}

// rejected reports whether the service answered with a 4xx status: it read the
// request and did not apply it. 408 is excluded, since it proves nothing.
func rejected(err error) bool {
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return false
	}
	status := response.HTTPStatusCode()
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout
}

// cancelledError returns the error of a cancelled transaction: the failed
// conditions if there are any, else cloud.ErrUnavailable, since a cancelled
// transaction is never applied.
func cancelledError(e *types.TransactionCanceledException, cause error) error {
	failed := map[int]item{}
	for i, reason := range e.CancellationReasons {
		if aws.ToString(reason.Code) == codeConditionFailed {
			failed[i] = reason.Item
		}
	}
	if len(failed) == 0 {
		return &platformError{cloud.ErrUnavailable, cause}
	}
	return conditionError(failed, cause)
}

func conditionError(failed map[int]item, cause error) error {
	out := &cloud.ConditionError{Failed: make(map[int]*cloud.Row, len(failed))}
	for i, it := range failed {
		out.Failed[i] = nil
		if len(it) == 0 {
			continue
		}
		row, err := decodeRow(it)
		if err != nil {
			return &platformError{cloud.ErrConditionFailed, errors.Wrap(err, cause.Error())}
		}
		out.Failed[i] = &row
	}
	return out
}
