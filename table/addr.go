package table

import "net/netip"

// UsableAddr reports whether an address names one process that all hosts reach at it:
// a host that connects to an unspecified address reaches itself, and a zone means
// something on one machine only.
func UsableAddr(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return ip.IsValid() && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}
