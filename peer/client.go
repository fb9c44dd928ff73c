package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

// maxMessageBytes bounds a request and the answer to Sync and Leave.
const maxMessageBytes = 512 << 10

// maxTablesBytes bounds the answer to FetchTables.
const maxTablesBytes = 16 << 20

// clients keeps one twirp client an address over a shared transport.
type clients struct {
	node      *Node
	transport *http.Transport
	mu        sync.Mutex
	byAddr    map[netip.AddrPort]peerpb.Peer
}

func newClients(n *Node) *clients {
	const (
		idleTimeout  = 90 * time.Second
		idleConns    = 64
		idlePerPeer  = 1
		bufferBytes  = 2 << 10
		headerBytes  = 8 << 10
		dialFallback = -1
	)
	dial := n.opt.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: n.opt.Timeout, FallbackDelay: dialFallback}).DialContext
	}
	return &clients{
		node: n, byAddr: map[netip.AddrPort]peerpb.Peer{},
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn, node: n}, nil
			},
			TLSClientConfig: n.opt.ClientTLS, TLSHandshakeTimeout: n.opt.Timeout,
			MaxIdleConns: idleConns, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout,
			DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			MaxResponseHeaderBytes: headerBytes,
		},
	}
}

func (c *clients) close() { c.transport.CloseIdleConnections() }

func (c *clients) get(addr netip.AddrPort) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddr[addr]; ok {
		return client
	}
	if len(c.byAddr) >= maxEntries {
		clear(c.byAddr)
	}
	scheme := "http://"
	if c.node.opt.ClientTLS != nil {
		scheme = "https://"
	}
	client := peerpb.NewPeerProtobufClient(scheme+addr.String(), &httpClient{
		client: &http.Client{Transport: c.transport, CheckRedirect: noRedirect}, token: c.node.opt.Token,
	})
	c.byAddr[addr] = client
	return client
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// httpClient adds the token and bounds the answer.
type httpClient struct {
	client *http.Client
	token  string
}

// Do implements the client interface of twirp.
func (h *httpClient) Do(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = nil
	if h.token != "" {
		r.Header.Set("Authorization", token.Bearer(h.token))
	}
	res, err := h.client.Do(r)
	if err != nil {
		return nil, err
	}
	limit := int64(maxMessageBytes)
	if r.URL.Path == fetchTablesPath {
		limit = maxTablesBytes
	}
	res.Body = http.MaxBytesReader(nil, res.Body, limit)
	return res, nil
}

// FetchTables asks the named host for its tables, at least of version atLeast.
func (n *Node) FetchTables(ctx context.Context, from string, atLeast uint64) ([]byte, uint64, error) {
	for _, m := range n.opt.Members.Members() {
		if m.Name != from {
			continue
		}
		reply, err := n.clients.get(m.Addr).FetchTables(ctx, &peerpb.FetchTablesRequest{AtLeast: atLeast})
		if err != nil {
			return nil, 0, errors.Wrapf(err, "fetch tables from %s", from)
		}
		if reply.Version < atLeast {
			return nil, 0, errors.Errorf("fetch tables from %s: version %d, at least %d expected", from, reply.Version, atLeast)
		}
		return reply.Tables, reply.Version, nil
	}
	return nil, 0, errors.Errorf("fetch tables: host %q is not known", from)
}

// Leave tells some peers of this host's present state, which the membership
// has set to leaving or gone before. The rounds and the peers pass it on.
func (n *Node) Leave(ctx context.Context) error {
	const told = 8
	ctx, cancel := context.WithTimeout(ctx, n.opt.Timeout)
	defer cancel()
	self := encodeMember(n.opt.Members.Self())
	peers := n.opt.Members.Peers(told)
	results := make(chan error, len(peers))
	for _, p := range peers {
		go func() {
			_, err := n.clients.get(p.Addr).Leave(ctx, &peerpb.LeaveRequest{Member: self})
			results <- err
		}()
	}
	var last error
	reached := 0
	for range peers {
		if err := <-results; err != nil {
			last = err
		} else {
			reached++
		}
	}
	if reached == 0 && last != nil {
		return errors.Wrap(last, "tell peers of leaving")
	}
	return nil
}
