package dynamo

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/http1"
)

const (
	// DefaultTable is the name of the table that holds all rows.
	DefaultTable = "chestnutfield"
	// DefaultTimeout is the default limit on the duration of one request.
	DefaultTimeout = 2 * time.Second

	region          = "local"
	maxIdleConns    = 32
	idleConnTimeout = 30 * time.Second
	// maxQueryPages is the maximum number of pages that one Query reads.
	maxQueryPages = 100
)

// Options configures a Client.
type Options struct {
	// Endpoint is the base URL of the service.
	Endpoint string
	// Table is the table's name; "" means DefaultTable.
	Table string
	// Timeout limits the duration of one request to the service; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// Responses counts and logs the responses that are not HTTP/1.1; nil does neither.
	Responses *http1.Monitor
}

// Client implements cloud.Table. It is safe for concurrent use.
type Client struct {
	api     *dynamodb.Client
	table   *string
	timeout time.Duration
}

var _ cloud.Table = (*Client)(nil)

// New returns a Client. It does not contact the service.
func New(o Options) *Client {
	o.Table = cmp.Or(o.Table, DefaultTable)
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	transport := awshttp.NewBuildableClient().WithTransportOptions(func(t *http.Transport) {
		t.MaxIdleConns, t.MaxIdleConnsPerHost = maxIdleConns, maxIdleConns
		t.IdleConnTimeout = idleConnTimeout
		t.Proxy = nil
		http1.Guard(t, http1.TableService, o.Responses)
	})
	return &Client{
		api: dynamodb.New(dynamodb.Options{
			Region:       region,
			BaseEndpoint: aws.String(o.Endpoint),
			Credentials:  credentials.NewStaticCredentialsProvider("chestnutfield", "chestnutfield", ""),
			Retryer:      aws.NopRetryer{},
			HTTPClient:   cloud.RequireFraming(transport),
		}),
		table:   aws.String(o.Table),
		timeout: o.Timeout,
	}
}

// Get implements cloud.Table.
func (c *Client) Get(ctx context.Context, k cloud.Key) (cloud.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: c.table, Key: encodeKey(k), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return cloud.Row{}, false, wrapReadError(err)
	}
	if len(out.Item) == 0 {
		return cloud.Row{}, false, nil
	}
	row, err := decodeRow(out.Item)
	return row, err == nil, err
}

// Query implements cloud.Table. The timeout applies to each page. It returns an
// error if the result has more than maxQueryPages pages.
func (c *Client) Query(ctx context.Context, partition, after string, limit int) ([]cloud.Row, error) {
	var rows []cloud.Row
	for range maxQueryPages {
		page, more, err := c.queryPage(ctx, partition, after, limit-len(rows))
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if !more || len(page) == 0 || len(rows) >= limit {
			return rows, nil
		}
		after = page[len(page)-1].Sort
	}
	return nil, errors.Errorf("query of %s: more than %d pages", partition, maxQueryPages)
}

func (c *Client) queryPage(ctx context.Context, partition, after string, limit int) ([]cloud.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	in := &dynamodb.QueryInput{
		TableName: c.table, ConsistentRead: aws.Bool(true), Limit: aws.Int32(int32(limit)),
		KeyConditionExpression:    aws.String("pk = :p AND sk > :a"),
		ExpressionAttributeValues: item{":p": stringAttr(partition), ":a": stringAttr(after)},
	}
	if after == "" {
		in.KeyConditionExpression = aws.String("pk = :p")
		delete(in.ExpressionAttributeValues, ":a")
	}
	out, err := c.api.Query(ctx, in)
	if err != nil {
		return nil, false, wrapReadError(err)
	}
	rows := make([]cloud.Row, 0, len(out.Items))
	for _, it := range out.Items {
		row, err := decodeListedRow(it)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, row)
	}
	return rows, len(out.LastEvaluatedKey) > 0, nil
}

// Write implements cloud.Table.
func (c *Client) Write(ctx context.Context, w cloud.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	expression, values := condition(w)
	if w.Delete {
		_, err := c.api.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: c.table, Key: encodeKey(w.Row.Key),
			ConditionExpression: expression, ExpressionAttributeValues: values,
			ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
		})
		return wrapWriteError(err)
	}
	_, err := c.api.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: c.table, Item: encodeRow(w.Row),
		ConditionExpression: expression, ExpressionAttributeValues: values,
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	})
	return wrapWriteError(err)
}

// Transact implements cloud.Table.
func (c *Client) Transact(ctx context.Context, ws []cloud.Write) error {
	if len(ws) == 0 {
		return nil
	}
	if len(ws) > cloud.MaxTransactWrites {
		return errors.Errorf("%d writes in one transaction, at most %d", len(ws), cloud.MaxTransactWrites)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	items := make([]types.TransactWriteItem, len(ws))
	for i, w := range ws {
		items[i] = c.transactItem(w)
	}
	_, err := c.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return wrapWriteError(err)
}

func (c *Client) transactItem(w cloud.Write) types.TransactWriteItem {
	expression, values := condition(w)
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: c.table, Key: encodeKey(w.Row.Key),
			ConditionExpression: expression, ExpressionAttributeValues: values,
			ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: c.table, Item: encodeRow(w.Row),
		ConditionExpression: expression, ExpressionAttributeValues: values,
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}}
}
