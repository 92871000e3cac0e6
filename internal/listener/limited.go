package listener

import (
	"net"
	"sync"
)

// limited is a listener that accepts a connection only while fewer than its limit are open.
type limited struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimited(listening net.Listener, limit int) *limited {
	return &limited{Listener: listening, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &counted{Conn: connection, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// counted gives its slot back once it is closed.
type counted struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *counted) Close() error {
	defer c.release()
	return c.Conn.Close()
}
