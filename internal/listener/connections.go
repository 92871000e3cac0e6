package listener

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// idleGrace is how long idle connections are left to the library after a stop began. It ends those that it has told
	// of the stop within a second of their last stream.
	idleGrace = 1500 * time.Millisecond
	// idlePoll is the time between two looks at the connections.
	idlePoll = 100 * time.Millisecond
)

// connections knows the state of each open connection of a server. It is safe for concurrent use.
type connections struct {
	mutex  *sync.Mutex
	states map[net.Conn]http.ConnState
}

func newConnections() connections {
	return connections{mutex: &sync.Mutex{}, states: map[net.Conn]http.ConnState{}}
}

// note records a change of a connection's state; it is the server's ConnState hook.
func (c connections) note(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, connection)
		return
	}
	c.states[connection] = state
}

func (c connections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.states)
}

// awaitNoneUsed waits until no connection has had a request, at most for the bound or until ctx is done. One whose request is in
// progress counts: it may be idle next, with an answer that did not announce the end of the connection.
func (c connections) awaitNoneUsed(ctx context.Context, bound time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	look := time.NewTicker(idlePoll)
	defer look.Stop()
	for len(c.in(http.StateActive, http.StateIdle)) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}

// closeIdle closes idle connections once idleGrace has passed, until done. The library never ends an idle HTTP/2 connection
// whose handshake was under way when the stop began: it was not told of the stop, and Shutdown would wait for its client.
func (c connections) closeIdle(done <-chan struct{}) error {
	wait := time.NewTimer(idleGrace)
	defer wait.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-wait.C:
		}
		for _, connection := range c.in(http.StateIdle) {
			_ = connection.Close()
		}
		wait.Reset(idlePoll)
	}
}

// in returns the connections that are in one of the states.
func (c connections) in(states ...http.ConnState) []net.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []net.Conn
	for connection, state := range c.states {
		if slices.Contains(states, state) {
			found = append(found, connection)
		}
	}
	return found
}
