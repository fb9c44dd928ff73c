package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

const fetchTablesPath = "/twirp/chestnutfield.peer.Peer/FetchTables"

func newServer(n *Node) *http.Server {
	const (
		headerTimeout = 2 * time.Second
		readTimeout   = 5 * time.Second
		writeTimeout  = 10 * time.Second
		idleTimeout   = 2 * time.Minute
		headerBytes   = 8 << 10
	)
	return &http.Server{
		Handler: n.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
}

// Handler returns the handler of the peers' requests, which are under /twirp/.
// The bytes of its connections count against the budget only on listeners given
// to Serve.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", peerpb.NewPeerServer(&service{node: n}))
	mux.HandleFunc("POST "+rejectionsPath, n.handleRejections)
	mux.HandleFunc("POST "+messageKeyPath, n.serveKeys)
	return n.authorize(http.MaxBytesHandler(mux, maxMessageBytes))
}

func (n *Node) authorize(next http.Handler) http.Handler {
	expected := token.New(n.opt.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !expected.Empty() && !expected.MatchesHeader(r.Header.Get("Authorization")) {
			n.metrics.unauthorized.Inc()
			http.Error(w, "token refused", http.StatusUnauthorized)
			return
		}
		// Peers do not use the Date header; leaving it out saves bytes.
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Serve answers peers on the listener until Shutdown, after which it returns
// nil.
func (n *Node) Serve(ln net.Listener) error {
	counted := net.Listener(&countingListener{Listener: ln, node: n})
	if n.opt.ServerTLS != nil {
		counted = tls.NewListener(counted, n.opt.ServerTLS)
	}
	if err := n.server.Serve(counted); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}

// Shutdown stops Serve and waits until the requests in progress are answered or
// the context ends.
func (n *Node) Shutdown(ctx context.Context) error {
	return errors.Wrap(n.server.Shutdown(ctx), "shut down the server for peers")
}

// service implements peerpb.Peer.
type service struct{ node *Node }

// Sync implements peerpb.Peer.
func (s *service) Sync(_ context.Context, in *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	m, err := decode(in)
	if err == nil && m.from == s.node.opt.Members.Self().Name {
		err = errors.New("from: another host's name expected")
	}
	if err != nil {
		s.node.metrics.refused.Inc()
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	s.node.metrics.answered.Inc()
	return s.node.answer(m), nil
}

// FetchTables implements peerpb.Peer.
func (s *service) FetchTables(_ context.Context, in *peerpb.FetchTablesRequest) (*peerpb.FetchTablesResponse, error) {
	if s.node.opt.Config == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no tables here")
	}
	encoded, version := s.node.opt.Config.EncodedTables()
	if version < in.AtLeast {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "version %d in force", version)
	}
	return &peerpb.FetchTablesResponse{Version: version, Tables: encoded}, nil
}

// Leave implements peerpb.Peer.
func (s *service) Leave(_ context.Context, in *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	m, err := decodeMember(in.Member)
	if err == nil && m.State == membership.Live {
		err = errors.New("state: leaving or gone expected")
	}
	if err != nil {
		s.node.metrics.refused.Inc()
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	if s.node.opt.Members.HandlePeerUpdate(membership.PeerUpdate{Members: []membership.Member{m}}) {
		s.node.Push()
	}
	return &peerpb.LeaveResponse{}, nil
}
