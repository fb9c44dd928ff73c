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

// failure keeps the cause of an error beside the platform error that says what
// it means.
type failure struct {
	kind  error
	cause error
}

func (f *failure) Error() string   { return f.kind.Error() + ": " + f.cause.Error() }
func (f *failure) Unwrap() []error { return []error{f.kind, f.cause} }

// readError says that a read gave nothing; nothing can have been applied.
func readError(err error) error { return &failure{cloud.ErrUnavailable, err} }

// writeError sorts what is known of a write by its error. Only an answer that
// refuses the request, or a connection that was never opened, proves that
// nothing was applied.
func writeError(err error) error {
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
	if refused(err) || cloud.NeverSent(err) {
		return &failure{cloud.ErrUnavailable, err}
	}
	return &failure{cloud.ErrUncertain, err}
}

// refused is true for answers of the 400 class: the service read the request
// and did not apply it.
func refused(err error) bool {
	var answer *awshttp.ResponseError
	if !errors.As(err, &answer) {
		return false
	}
	status := answer.HTTPStatusCode()
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout
}

// cancelledError reads the reasons of a cancelled transaction, which was not
// applied whatever they are.
func cancelledError(e *types.TransactionCanceledException, cause error) error {
	failed := map[int]item{}
	for i, reason := range e.CancellationReasons {
		if aws.ToString(reason.Code) == codeConditionFailed {
			failed[i] = reason.Item
		}
	}
	if len(failed) == 0 {
		return &failure{cloud.ErrUnavailable, cause}
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
			return &failure{cloud.ErrConditionFailed, errors.Wrap(err, cause.Error())}
		}
		out.Failed[i] = &row
	}
	return out
}
