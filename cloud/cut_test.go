package cloud_test

import (
	"context"
	"testing"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/cloud/hostlist"
	"github.com/chestnutfield/chestnutfield/cloud/s3"
	"github.com/chestnutfield/chestnutfield/internal/cuttest"
)

const storedRow = `{"pk":{"S":"p"},"sk":{"S":"a"},"rev":{"N":"12"},"writer":{"S":"w"},"body":{"B":"aGVsbG8="}}`

// getResult is what a call returns that reports whether there is such a thing.
type getResult struct {
	value any
	found bool
}

// Guards against rows that seem to be gone because the response broke off.
func TestCutResponsesLoseNoRow(t *testing.T) {
	s := cuttest.Start(t)
	table := dynamo.New(dynamo.Options{Endpoint: "http://" + s.Addr.String()})
	s.Check(t, `{"Item":`+storedRow+`}`, func() (any, error) {
		row, found, err := table.Get(context.Background(), cloud.Key{Partition: "p", Sort: "a"})
		return getResult{row, found}, err
	})
	s.Check(t, `{"Count":1,"Items":[`+storedRow+`],"ScannedCount":1}`, func() (any, error) {
		return table.Query(context.Background(), "p", "", 100)
	})
}

// Guards against objects that are shorter because the response broke off.
func TestCutResponsesShortenNoObject(t *testing.T) {
	s := cuttest.Start(t)
	objects := s3.New(s3.Options{Endpoint: "http://" + s.Addr.String()})
	s.Check(t, "1234", func() (any, error) {
		body, found, err := objects.Get(context.Background(), "config/latest")
		return getResult{string(body), found}, err
	})
}

// Guards against a list that is shorter because the response broke off.
func TestCutResponsesShortenNoHostList(t *testing.T) {
	s := cuttest.Start(t)
	hosts := hostlist.New(hostlist.Options{BaseURL: "http://" + s.Addr.String()})
	s.Check(t, `[{"service":"a","addr":"127.0.0.1:1"},{"service":"a","addr":"127.0.0.1:2"}]`, func() (any, error) {
		return hosts.List(context.Background(), "a")
	})
}

// Guards against rows, objects and hosts that are read from bytes that are no HTTP/1.1
// response, and against writes that such bytes acknowledge.
func TestMalformedResponsesOfThePlatformAreErrors(t *testing.T) {
	s := cuttest.Start(t)
	url := "http://" + s.Addr.String()
	table, objects, hosts := dynamo.New(dynamo.Options{Endpoint: url}), s3.New(s3.Options{Endpoint: url}), hostlist.New(hostlist.Options{BaseURL: url})
	s.CheckMalformed(t, `{"Item":`+storedRow+`}`, func() (any, error) {
		row, found, err := table.Get(context.Background(), cloud.Key{Partition: "p", Sort: "a"})
		return getResult{row, found}, err
	})
	s.CheckMalformed(t, `{}`, func() (any, error) {
		return nil, table.Write(context.Background(), cloud.Write{Row: cloud.Row{Key: cloud.Key{Partition: "p", Sort: "a"}}})
	})
	s.CheckMalformed(t, "1234", func() (any, error) {
		body, found, err := objects.Get(context.Background(), "config/latest")
		return getResult{string(body), found}, err
	})
	s.CheckMalformed(t, `[{"service":"a","addr":"127.0.0.1:1"}]`, func() (any, error) {
		return hosts.List(context.Background(), "a")
	})
}
