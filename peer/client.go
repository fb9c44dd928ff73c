package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

// maxMessageBytes is the maximum size of a request, and of the response to Sync
// and Leave.
const maxMessageBytes = 512 << 10

// maxTablesBytes is the maximum size of the response to FetchTables.
const maxTablesBytes = 16 << 20

// clients keeps one Twirp client for each address. They share a transport.
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
		transport: http1.Guard(&http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn, node: n}, nil
			},
			TLSClientConfig: n.opt.ClientTLS, TLSHandshakeTimeout: n.opt.Timeout,
			MaxIdleConns: idleConns, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout,
			DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			MaxResponseHeaderBytes: headerBytes,
		}, http1.Host, n.opt.Responses),
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
	client := peerpb.NewPeerProtobufClient(c.baseURL(addr), c.http())
	c.byAddr[addr] = client
	return client
}

// baseURL returns the URL of the host at an address, without a path.
func (c *clients) baseURL(addr netip.AddrPort) string {
	if c.node.opt.ClientTLS != nil {
		return "https://" + addr.String()
	}
	return "http://" + addr.String()
}

func (c *clients) http() *httpClient {
	return &httpClient{client: &http.Client{Transport: c.transport, CheckRedirect: noRedirect}, token: c.node.opt.Token}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// httpClient adds the token to requests and bounds the size of the responses.
type httpClient struct {
	client *http.Client
	token  string
}

// Do implements the HTTPClient interface of the Twirp client.
func (h *httpClient) Do(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = nil
	if h.token != "" {
		r.Header.Set("Authorization", token.Bearer(h.token))
	}
	response, err := h.client.Do(r)
	if err != nil {
		return nil, err
	}
	limit := int64(maxMessageBytes)
	if r.URL.Path == fetchTablesPath {
		limit = maxTablesBytes
	}
	response.Body = http.MaxBytesReader(nil, response.Body, limit)
	return response, nil
}

// FetchTables fetches the encoded tables of the named host and their version.
// It fails when the host is not a member, does not answer, or has a version
// lower than atLeast.
func (n *Node) FetchTables(ctx context.Context, from string, atLeast uint64) ([]byte, uint64, error) {
	for _, m := range n.opt.Members.Members() {
		if m.Name != from {
			continue
		}
		response, err := n.clients.get(m.Addr).FetchTables(ctx, &peerpb.FetchTablesRequest{AtLeast: atLeast})
		if err != nil {
			return nil, 0, errors.Wrapf(err, "fetch tables from %s", from)
		}
		if response.Version < atLeast {
			return nil, 0, errors.Errorf("fetch tables from %s: version %d, at least %d expected", from, response.Version, atLeast)
		}
		return response.Tables, response.Version, nil
	}
	return nil, 0, errors.Errorf("fetch tables: host %q is not known", from)
}

// Leave sends this host's own entry to some peers, after the membership has set
// its state to Leaving or Gone. Further hosts learn of it by gossip. It fails
// when no peer could be reached.
func (n *Node) Leave(ctx context.Context) error {
	const peersToNotify = 8
	ctx, cancel := context.WithTimeout(ctx, n.opt.Timeout)
	defer cancel()
	self := encodeMember(n.opt.Members.Self())
	peers := n.opt.Members.Peers(peersToNotify)
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
		return errors.Wrap(last, "no peer was told that this host leaves")
	}
	return nil
}
