package peer

import "net"

// countingConn is a connection whose bytes count against the budget of a Node.
type countingConn struct {
	net.Conn
	node *Node
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.countBytes(c.node.metrics.bytesIn, n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.node.countBytes(c.node.metrics.bytesOut, n)
	return n, err
}

// countingListener wraps the connections that it accepts in countingConns.
type countingListener struct {
	net.Listener
	node *Node
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, node: l.node}, nil
}
