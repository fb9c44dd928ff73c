package peer

import "net"

// countedConn counts the bytes of a connection against the budget.
type countedConn struct {
	net.Conn
	node *Node
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.carried(c.node.metrics.bytesIn, n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.node.carried(c.node.metrics.bytesOut, n)
	return n, err
}

type countedListener struct {
	net.Listener
	node *Node
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, node: l.node}, nil
}
