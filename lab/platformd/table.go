package platformd

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/cloud"
)

const (
	targetHeader    = "X-Amz-Target"
	targetPrefix    = "DynamoDB_20120810."
	errorTypePrefix = "com.amazonaws.dynamodb.v20120810#"
	tableMediaType  = "application/x-amz-json-1.0"
	allOld          = "ALL_OLD"
	codeNone        = "None"
	codeCheckFailed = "ConditionalCheckFailed"
	checkFailed     = "The conditional request failed"
)

// cancellationReason is the reason for one entry of a cancelled transaction.
type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
	Item    item   `json:",omitempty"`
}

// tableError is the body of an error response of the table service.
type tableError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	Item                item                 `json:",omitempty"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}

// Error implements error.
func (e *tableError) Error() string { return e.Type + ": " + e.Message }

func writeTableError(ctx *fasthttp.RequestCtx, status int, e tableError) {
	e.Type = errorTypePrefix + e.Type
	ctx.SetStatusCode(status)
	writeJSON(ctx, e)
	ctx.SetContentType(tableMediaType)
}

// operationHandler serves one table operation. wrote tells whether it applied a
// write.
type operationHandler func(s *Server, body []byte) (result any, wrote bool, err error)

var operations = map[string]operationHandler{
	"GetItem":            (*Server).getItem,
	"Query":              (*Server).query,
	"PutItem":            (*Server).putItem,
	"DeleteItem":         (*Server).deleteItem,
	"TransactWriteItems": (*Server).transactWriteItems,
	"CreateTable":        (*Server).describeTable,
	"DescribeTable":      (*Server).describeTable,
}

// handleTable serves one call to the table service and reports whether it wrote.
func (s *Server) handleTable(ctx *fasthttp.RequestCtx) bool {
	name := strings.TrimPrefix(string(ctx.Request.Header.Peek(targetHeader)), targetPrefix)
	op, ok := operations[name]
	if !ok {
		writeTableError(ctx, fasthttp.StatusBadRequest, tableError{
			Type: "UnknownOperationException", Message: fmt.Sprintf("the stand-in does not serve %q", name),
		})
		return false
	}
	result, wrote, err := op(s, ctx.PostBody())
	if err != nil {
		var te *tableError
		if !errors.As(err, &te) {
			te = &tableError{Type: "SerializationException", Message: err.Error()}
		}
		writeTableError(ctx, fasthttp.StatusBadRequest, *te)
		return false
	}
	writeJSON(ctx, result)
	ctx.SetContentType(tableMediaType)
	return wrote
}

type getItemInput struct {
	TableName string
	Key       item
}

type getItemOutput struct {
	Item item `json:",omitempty"`
}

func (s *Server) getItem(body []byte) (any, bool, error) {
	var in getItemInput
	if err := decodeCall(body, &in, &in.TableName); err != nil {
		return nil, false, err
	}
	k, ok := in.Key.key()
	if !ok {
		return nil, false, validationError("Key: pk and sk must be strings (S) that are not empty")
	}
	if !s.admit(access{operation: "GetItem", reads: 1}) {
		return nil, false, throttled()
	}
	return getItemOutput{Item: s.rows.get(k)}, false, nil
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeValues values
	Limit                     int
}

type queryOutput struct {
	Items            []item
	Count            int
	ScannedCount     int
	LastEvaluatedKey item `json:",omitempty"`
}

func (s *Server) query(body []byte) (any, bool, error) {
	var in queryInput
	if err := decodeCall(body, &in, &in.TableName); err != nil {
		return nil, false, err
	}
	pk, after, err := parseKeyCondition(in.KeyConditionExpression, in.ExpressionAttributeValues)
	if err != nil {
		return nil, false, err
	}
	items, more := s.rows.query(pk, after, in.Limit)
	if !s.admit(access{operation: "Query", reads: max(1, len(items))}) {
		return nil, false, throttled()
	}
	out := queryOutput{Items: items, Count: len(items), ScannedCount: len(items)}
	if more {
		last := items[len(items)-1]
		out.LastEvaluatedKey = item{"pk": last["pk"], "sk": last["sk"]}
	}
	if out.Items == nil {
		out.Items = []item{}
	}
	return out, false, nil
}

type emptyOutput struct{}

func (s *Server) putItem(body []byte) (any, bool, error)    { return s.writeItem("PutItem", body) }
func (s *Server) deleteItem(body []byte) (any, bool, error) { return s.writeItem("DeleteItem", body) }

func (s *Server) writeItem(operation string, body []byte) (any, bool, error) {
	var in writeInput
	if err := decodeCall(body, &in, &in.TableName); err != nil {
		return nil, false, err
	}
	m, err := in.mutation(operation == "DeleteItem")
	if err != nil {
		return nil, false, err
	}
	if !s.admit(access{operation: operation, writes: 1}) {
		return nil, false, throttled()
	}
	if failures := s.rows.apply([]mutation{m}); failures != nil {
		te := &tableError{Type: "ConditionalCheckFailedException", Message: checkFailed}
		if m.returnOld {
			te.Item = failures[0].stored
		}
		return nil, false, te
	}
	return emptyOutput{}, true, nil
}

type transactInput struct {
	TransactItems []struct {
		Put            *writeInput
		Delete         *writeInput
		ConditionCheck *writeInput
	}
}

func (in transactInput) mutations() ([]mutation, error) {
	if n := len(in.TransactItems); n == 0 || n > cloud.MaxTransactWrites {
		return nil, validationError("TransactItems: %d entries, expected 1 to %d", n, cloud.MaxTransactWrites)
	}
	seen := map[rowKey]bool{}
	ms := make([]mutation, 0, len(in.TransactItems))
	for _, ti := range in.TransactItems {
		var m mutation
		var err error
		switch {
		case ti.Put != nil:
			m, err = ti.Put.mutation(false)
		case ti.Delete != nil:
			m, err = ti.Delete.mutation(true)
		case ti.ConditionCheck != nil:
			m, err = ti.ConditionCheck.mutation(true)
			m.remove = false
		default:
			err = validationError("TransactItems: the stand-in knows Put, Delete and ConditionCheck")
		}
		if err != nil {
			return nil, err
		}
		if seen[m.key] {
			return nil, validationError("Transaction request cannot include multiple operations on one item")
		}
		seen[m.key] = true
		ms = append(ms, m)
	}
	return ms, nil
}

func (s *Server) transactWriteItems(body []byte) (any, bool, error) {
	var in transactInput
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, false, err
	}
	ms, err := in.mutations()
	if err != nil {
		return nil, false, err
	}
	if !s.admit(access{operation: "TransactWriteItems", writes: len(ms)}) {
		return nil, false, throttled()
	}
	if failures := s.rows.apply(ms); failures != nil {
		return nil, false, transactionCancelled(ms, failures)
	}
	return emptyOutput{}, true, nil
}

// transactionCancelled returns the TransactionCanceledException for ms with one
// reason for each of them.
func transactionCancelled(ms []mutation, failures []*conditionFailure) error {
	te := &tableError{
		Type:    "TransactionCanceledException",
		Message: "Transaction cancelled, please refer cancellation reasons for specific reasons",
	}
	for i, f := range failures {
		reason := cancellationReason{Code: codeNone}
		if f != nil {
			reason = cancellationReason{Code: codeCheckFailed, Message: checkFailed}
			if ms[i].returnOld {
				reason.Item = f.stored
			}
		}
		te.CancellationReasons = append(te.CancellationReasons, reason)
	}
	return te
}
