package linksim

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// pieceBytes is the most that is read at once, and the burst of the rate limit.
	pieceBytes = 16 << 10
	// piecesUnderWay bounds what one direction of a connection holds during a delay; then the sender waits.
	piecesUnderWay = 64
)

// direction is one way through the link, over all connections.
type direction struct {
	bytes   atomic.Int64
	limiter *rate.Limiter
}

func newDirection() *direction { return &direction{limiter: rate.NewLimiter(rate.Inf, pieceBytes)} }

// piece is what was read at once and when it may leave.
type piece struct {
	content []byte
	due     time.Time
}

// pump passes bytes one way until a side closes; then it drops the connection or, at the end of the stream, closes the
// way only. Delays never change the order.
func (l *Link) pump(through *connection, from, to net.Conn, way *direction) {
	pieces := make(chan piece, piecesUnderWay)
	var reading sync.WaitGroup
	reading.Go(func() { l.read(through, from, pieces) })
	ended := l.write(through, to, pieces, way)
	if stream, isTCP := to.(*net.TCPConn); isTCP && ended {
		_ = stream.CloseWrite()
	} else {
		l.remove(through)
	}
	reading.Wait()
}

// read takes pieces until the sender closes, which closes the channel.
func (l *Link) read(through *connection, from net.Conn, pieces chan<- piece) {
	defer close(pieces)
	var last time.Time
	for {
		buffer := make([]byte, pieceBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			due := time.Now().Add(l.state.delay())
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case pieces <- piece{content: buffer[:count], due: due}:
			case <-through.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write sends pieces when they are due, and reports true at the end of the stream, false if the connection broke.
func (l *Link) write(through *connection, to net.Conn, pieces <-chan piece, way *direction) bool {
	dropped := through.ctx.Done()
	for next := range pieces {
		if !waitUntil(next.due, dropped) {
			return false
		}
		if way.limiter.WaitN(through.ctx, len(next.content)) != nil || !l.state.waitThawed(dropped) {
			return false
		}
		// Counted first: whoever has received bytes must find them in the counters.
		way.bytes.Add(int64(len(next.content)))
		if _, err := to.Write(next.content); err != nil {
			return false
		}
	}
	return true
}

// waitUntil waits, and reports false if the connection was dropped meanwhile.
func waitUntil(due time.Time, dropped <-chan struct{}) bool {
	delay := time.Until(due)
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-dropped:
		return false
	}
}
