//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay forwards connections to one address, or resets all of them.
type relay struct {
	ln     net.Listener
	target string

	mu        sync.Mutex
	resetting bool
	conns     map[*net.TCPConn]bool
}

func newRelay(target string) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, target: target, conns: map[*net.TCPConn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

// serve forwards both directions of a client's connection until one of them ends.
func (r *relay) serve(client *net.TCPConn) {
	if !r.track(client) {
		return
	}
	defer r.end(client)
	c, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	server := c.(*net.TCPConn)
	if !r.track(server) {
		return
	}
	defer r.end(server)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]*net.TCPConn{{client, server}, {server, client}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// track adds a connection, or resets it and returns false.
func (r *relay) track(c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resetting {
		reset(c)
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) end(c *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// setResetting resets all connections, the open and the new ones, or forwards again.
func (r *relay) setResetting(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetting = on
	if !on {
		return
	}
	for c := range r.conns {
		reset(c)
	}
	clear(r.conns)
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.setResetting(true)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
