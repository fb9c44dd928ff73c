package hostmsg

import "net/netip"

// HandlePacket handles a packet as if a node had received it.
func (n *Node) HandlePacket(from netip.AddrPort, data []byte) { n.handlePacket(from, data) }
