package peer

import (
	"context"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutfield/chestnutfield/internal/cuttest"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

// Guards against tables of a peer that are read in part because its response broke off.
func TestCutResponsesOfPeersAreErrors(t *testing.T) {
	s := cuttest.Start(t)
	s.Strict, s.HeaderLine = true, "Content-Type: application/protobuf"
	// Hosts send a length or chunks, without which a part of a message may be a message.
	s.Framings = []cuttest.Framing{cuttest.Length, cuttest.Chunked}
	body, err := proto.Marshal(&peerpb.FetchTablesResponse{Version: 7, Tables: []byte("tables")})
	if err != nil {
		t.Fatal(err)
	}
	client := peerpb.NewPeerProtobufClient("http://"+s.Addr.String(), &httpClient{client: &http.Client{}})
	s.Check(t, string(body), func() (any, error) {
		r, err := client.FetchTables(context.Background(), &peerpb.FetchTablesRequest{AtLeast: 1})
		return r.String(), err
	})
}

// Guards against tables of a peer that are read from bytes that are no HTTP/1.1 response.
func TestMalformedResponsesOfPeersAreErrors(t *testing.T) {
	s := cuttest.Start(t)
	s.HeaderLine = "Content-Type: application/protobuf"
	body, err := proto.Marshal(&peerpb.FetchTablesResponse{Version: 7, Tables: []byte("tables")})
	if err != nil {
		t.Fatal(err)
	}
	n, err := NewNode(Options{Members: &fakeMembers{}})
	if err != nil {
		t.Fatal(err)
	}
	s.CheckMalformed(t, string(body), func() (any, error) {
		return n.clients.get(s.Addr).FetchTables(context.Background(), &peerpb.FetchTablesRequest{AtLeast: 1})
	})
}
