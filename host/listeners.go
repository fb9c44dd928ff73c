package host

import (
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/settings"
)

// listeners are the listeners of a host.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

// listen binds the three addresses. When it returns an error, none is bound.
func listen(l settings.Listen) (listeners, error) {
	var bound listeners
	for _, a := range []struct {
		key  string
		addr netip.AddrPort
		to   *net.Listener
	}{
		{"callers", l.Callers, &bound.callers},
		{"admin", l.Admin, &bound.admin},
		{"peers", l.Peers, &bound.peers},
	} {
		ln, err := net.Listen("tcp", a.addr.String())
		if err != nil {
			bound.close()
			return listeners{}, errors.Wrapf(err, "section [listen] key %q", a.key)
		}
		*a.to = ln
	}
	return bound, nil
}

// enableTLS wraps the peers listener in TLS when the settings ask for it; peer
// RPCs and requests that are handed over then both use TLS.
func (l *listeners) enableTLS(peers settings.Auth) error {
	config, err := peers.TLS()
	if err != nil {
		return errors.Wrap(err, "section [peers]")
	}
	if config != nil {
		l.peers = tls.NewListener(l.peers, config)
	}
	return nil
}

// boundSettings returns a copy of the settings with the addresses that were
// bound, so that port 0 is replaced by the actual port.
func (l listeners) boundSettings(s *settings.Settings) *settings.Settings {
	resolved := *s
	resolved.Listen = settings.Listen{
		Callers: netip.MustParseAddrPort(l.callers.Addr().String()),
		Admin:   netip.MustParseAddrPort(l.admin.Addr().String()),
		Peers:   netip.MustParseAddrPort(l.peers.Addr().String()),
	}
	return &resolved
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.admin, l.peers} {
		if ln != nil {
			ln.Close()
		}
	}
}
