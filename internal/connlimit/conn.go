package connlimit

import (
	"bytes"
	"io"
	"net"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
)

const (
	// headSlack is how far a head may exceed its limit before it is refused: bytes after its end are read together with it.
	headSlack = 4 << 10
	// writeTimeout bounds the time for which the end of an answer waits for its caller: the buffered rest of it over a link of 0.01 Mbit/s.
	writeTimeout = 30 * time.Second
	// refusalTimeout bounds the time for which a refused head is read on and discarded: closing a connection with unread bytes resets it, which may
	// lose the refusal.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscarded bounds the bytes of a refused head that are discarded.
	maxDiscarded = 1 << 20
)

// headTooLarge is the answer to a head above the limit, complete with its end.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 22\r\nConnection: close\r\n\r\nthe head is too large\n"

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. It closes connections for which there is no place.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.limiter.admit(accepted); admitted != nil {
			return admitted, nil
		}
		_ = accepted.Close()
	}
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	limiter *Limiter
	// entry is guarded by the limiter's mutex.
	entry entry
}

// Read implements net.Conn. It returns io.EOF once the connection has been closed for others or its head is too large.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	victims, verdict := c.received(buffer[:count])
	closeAll(victims...)
	switch verdict {
	case tooLarge:
		c.refuseHead()
		return 0, io.EOF
	case gone:
		return 0, io.EOF
	}
	return count, err
}

// verdict is what becomes of a connection after bytes have arrived.
type verdict uint8

const (
	proceed verdict = iota
	// gone connections were closed for others.
	gone
	// tooLarge connections have sent more than the head of a request may have.
	tooLarge
)

func (c *Conn) received(arrived []byte) ([]*entry, verdict) {
	l := c.limiter
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.entry.phase == closed {
		return nil, gone
	}
	victims := l.ledger.received(&c.entry, int64(len(arrived)), int64(bytes.Count(arrived, lineEnd)), l.now())
	if c.entry.phase == closed {
		return victims, gone
	}
	if limit := l.headLimit(); c.entry.phase == awaitingHead && limit > 0 && c.entry.headBytes > limit+headSlack {
		l.tooLarge++
		return victims, tooLarge
	}
	return victims, proceed
}

var lineEnd = []byte{'\n'}

// refuseHead answers that the head is too large, and discards what comes for a moment, so that the caller can read the answer.
func (c *Conn) refuseHead() {
	_ = c.Conn.SetDeadline(clock.System(c.limiter.now().Add(refusalTimeout)))
	if _, err := io.WriteString(c.Conn, headTooLarge); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscarded)
	}
}

// CloseWrite ends the sending side, if the transport has one of its own.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.mutex.Lock()
	c.limiter.ledger.remove(&c.entry)
	c.limiter.mutex.Unlock()
	return c.Conn.Close()
}

// Begin records that a whole request has arrived. It returns false if the connection was closed before: then the request must not be run.
func (c *Conn) Begin() bool { return c.headArrived(true) }

// End records that the request was answered.
func (c *Conn) End() { c.answered() }

func (c *Conn) headArrived(whole bool) bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	return c.limiter.ledger.headArrived(&c.entry, whole, c.limiter.now())
}

func (c *Conn) bodyArrived() bool {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	return c.limiter.ledger.bodyArrived(&c.entry, c.limiter.now())
}

func (c *Conn) answered() {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.limiter.ledger.answered(&c.entry, c.limiter.now())
}

func (c *Conn) reserved(release func()) {
	c.limiter.mutex.Lock()
	gone := c.entry.phase == closed
	if !gone {
		c.entry.release = release
	}
	c.limiter.mutex.Unlock()
	if gone {
		release()
	}
}

// boundWrite bounds the time for which the rest of an answer waits for its caller.
func (c *Conn) boundWrite() {
	_ = c.Conn.SetWriteDeadline(clock.System(c.limiter.now().Add(writeTimeout)))
}

// arrivingBody is the body of a request, and records its end.
type arrivingBody struct {
	io.ReadCloser
	connection *Conn
	// ended is set once the end was recorded.
	ended bool
}

// Read implements io.Reader. The end of a body whose connection was closed before is io.ErrUnexpectedEOF.
func (b *arrivingBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err != io.EOF || b.ended {
		return count, err
	}
	if !b.connection.bodyArrived() {
		return 0, io.ErrUnexpectedEOF
	}
	b.ended = true
	return count, err
}
