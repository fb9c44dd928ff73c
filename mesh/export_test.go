package mesh

import "net/netip"

// Take hands a packet to a node as if it had arrived.
func (n *Node) Take(from netip.AddrPort, data []byte) { n.take(from, data) }
