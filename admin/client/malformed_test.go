package client_test

import (
	"context"
	"errors"
	"testing"

	"github.com/chestnutfield/chestnutfield/admin/client"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/internal/cuttest"
)

// Guards against a status, a listing or the result of a change that chestnutctl reads
// from bytes that are no HTTP/1.1 response: the result of such a change is unknown.
func TestMalformedResponsesOfTheAdminAPIAreErrors(t *testing.T) {
	s := cuttest.Start(t)
	c := client.New(client.Options{Address: "http://" + s.Addr.String()})
	s.CheckMalformed(t, `{}`, func() (any, error) { return c.Status(context.Background()) })
	s.CheckMalformed(t, `{}`, func() (any, error) { return c.List(context.Background(), schema.Routes) })
	s.CheckMalformed(t, `{"state":"accepted","version":7}`, func() (any, error) {
		result, err := c.Delete(context.Background(), client.ChangeOptions{Table: schema.Routes, ChangeID: "c"}, "lookup")
		if err == nil && result.State == command.Unknown {
			return nil, errors.New(result.Detail)
		}
		return result, err
	})
}
