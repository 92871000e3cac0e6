// Package linksim is the lab's stand-in for a weak link: a TCP forwarder in front of one address, and a separate fault
// port that cuts, freezes, delays and narrows what passes, by a seed.
package linksim

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// dialTimeout bounds a connection to the target.
const dialTimeout = 2 * time.Second

// Link forwards connections to one target. It is safe for concurrent use.
type Link struct {
	address, target string
	state           *state
	tomb            tomb.Tomb

	mutex sync.Mutex
	// listener is nil while the link is cut, so that the system refuses connections.
	listener net.Listener
	open     map[*connection]struct{}
	stopped  bool
}

// connection is one forwarded connection. The far side is nil until the target is reached.
type connection struct {
	near, far net.Conn
	// ctx ends when the connection is dropped.
	ctx    context.Context
	cancel context.CancelFunc
}

// Listen opens a link without faults from an address to a target, both "IP:port". The seed drives the jitter.
func Listen(address, target string, seed uint64) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	link := &Link{
		address:  listener.Addr().String(),
		target:   target,
		state:    newState(seed),
		listener: listener,
		open:     map[*connection]struct{}{},
	}
	link.tomb.Go(func() error {
		link.accept(listener)
		<-link.tomb.Dying()
		return nil
	})
	return link, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Close drops every connection, stops listening and waits for the link's work to end.
func (l *Link) Close() error {
	l.mutex.Lock()
	l.stopped = true
	l.cut()
	l.mutex.Unlock()
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// SetFaults replaces the faults. A cut closes the listener and every connection; its end opens the listener again.
func (l *Link) SetFaults(faults Faults) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.set(faults)
	if faults.Cut {
		l.cut()
		return nil
	}
	if err := l.cutSenders(faults.CutSenders); err != nil {
		return err
	}
	return l.restore()
}

// cutSenders drops the connections that come from processes. It needs the mutex.
func (l *Link) cutSenders(processes []int) error {
	if len(processes) == 0 {
		return nil
	}
	cut, err := findSenders(processes)
	if err != nil {
		return err
	}
	for each := range l.open {
		if cut.sent(each.near) {
			l.drop(each)
		}
	}
	return nil
}

// admits reports whether the connection's sender is not cut; one that can't be told is closed, as its call is then sent
// again. It needs the mutex.
func (l *Link) admits(near net.Conn) bool {
	processes := l.state.get().CutSenders
	if len(processes) == 0 {
		return true
	}
	cut, err := findSenders(processes)
	return err == nil && !cut.sent(near)
}

// Faults returns the faults in force.
func (l *Link) Faults() Faults { return l.state.get() }

// cut needs the mutex.
func (l *Link) cut() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for each := range l.open {
		l.drop(each)
	}
}

// restore needs the mutex.
func (l *Link) restore() error {
	if l.listener != nil || l.stopped {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen again on %s: %w", l.address, err)
	}
	l.listener = listener
	l.tomb.Go(func() error {
		l.accept(listener)
		return nil
	})
	return nil
}

// accept takes connections until the listener closes.
func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		l.admit(near)
	}
}

// admit begins to forward a connection, unless the link was cut since it was accepted, or for its sender.
func (l *Link) admit(near net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener == nil || !l.admits(near) {
		_ = near.Close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	accepted := &connection{near: near, ctx: ctx, cancel: cancel}
	l.open[accepted] = struct{}{}
	l.state.connections.Add(1)
	l.tomb.Go(func() error {
		l.forward(accepted)
		return nil
	})
}

// forward connects to the target and passes bytes both ways until either side closes. A frozen link does not connect.
func (l *Link) forward(accepted *connection) {
	defer l.remove(accepted)
	if !l.state.waitThawed(accepted.ctx.Done()) {
		return
	}
	ctx, cancel := context.WithTimeout(accepted.ctx, dialTimeout)
	defer cancel()
	far, err := new(net.Dialer).DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	if !l.attach(accepted, far) {
		_ = far.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(accepted, accepted.near, far, l.state.toTarget) })
	both.Go(func() { l.pump(accepted, far, accepted.near, l.state.fromTarget) })
	both.Wait()
}

// attach adds the far side, and reports false if the connection was dropped meanwhile.
func (l *Link) attach(accepted *connection, far net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, open := l.open[accepted]; !open {
		return false
	}
	accepted.far = far
	return true
}

func (l *Link) remove(accepted *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drop(accepted)
}

// drop closes both sides at once, without sending what is under way. It needs the mutex.
func (l *Link) drop(dropped *connection) {
	if _, open := l.open[dropped]; !open {
		return
	}
	delete(l.open, dropped)
	dropped.cancel()
	for _, side := range []net.Conn{dropped.near, dropped.far} {
		if side == nil {
			continue
		}
		if stream, isTCP := side.(*net.TCPConn); isTCP {
			_ = stream.SetLinger(0)
		}
		_ = side.Close()
	}
}
