package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limiter enforces the limits of one listener and its HTTP server. It is safe for concurrent use.
type Limiter struct {
	// headLimit returns the maximum size of a request's head in bytes; zero means no limit but that on the memory of all.
	headLimit func() int64
	now       func() time.Time

	mutex  sync.Mutex
	ledger ledger
	// most is the largest number of open connections since the last call of TakeTally; tooLarge counts the heads above headLimit.
	most, tooLarge int
}

// New returns a limiter of a listener of HTTP requests. now is a monotonic clock.
func New(limits Limits, headLimit func() int64, now func() time.Time) *Limiter {
	return &Limiter{headLimit: headLimit, now: now, ledger: ledger{limits: limits, decoding: HTTPHead}}
}

// NewForMessages returns a limiter of a listener of another protocol, whose server calls Begin and End of each connection. now is a monotonic
// clock.
func NewForMessages(limits Limits, now func() time.Time) *Limiter {
	return &Limiter{headLimit: func() int64 { return 0 }, now: now, ledger: ledger{limits: limits, decoding: Message}}
}

// SetLimits changes the limits. Open connections beyond the new ones are closed as new ones come.
func (l *Limiter) SetLimits(limits Limits) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.limits = limits
}

// Tally is the use of a listener since the previous call of TakeTally.
type Tally struct {
	Closings
	// Open and Most are the number of open connections now and at most, Limit the maximum.
	Open, Most, Limit int
	// HeadBytes is the memory now reserved for heads beyond the ordinary.
	HeadBytes int64
	// TooLarge counts the heads above the limit of one head.
	TooLarge int
}

// Reportable reports whether a connection was closed or refused, or a head was too large.
func (t Tally) Reportable() bool {
	return t.Closings != Closings{} || t.TooLarge > 0
}

// TakeTally returns the tally and starts a new one.
func (l *Limiter) TakeTally() Tally {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	taken := Tally{
		Closings: l.ledger.closings, Open: l.ledger.count, Most: l.most, Limit: l.ledger.limits.Connections, HeadBytes: l.ledger.heads, TooLarge: l.tooLarge,
	}
	l.ledger.closings, l.most, l.tooLarge = Closings{}, l.ledger.count, 0
	return taken
}

// Listen returns a listener that accepts the connections of another one within the limits. Each is a *Conn.
func (l *Limiter) Listen(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

// admit returns the connection within the limits, or nil if there is no place for it.
func (l *Limiter) admit(accepted net.Conn) *Conn {
	added := &Conn{Conn: accepted, limiter: l}
	added.entry.end = func() { _ = accepted.Close() }
	victim, admitted := l.tryAdmit(added)
	closeAll(victim)
	if !admitted {
		return nil
	}
	return added
}

func (l *Limiter) tryAdmit(added *Conn) (*entry, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	victim, admitted := l.ledger.admit(&added.entry, l.now())
	l.most = max(l.most, l.ledger.count)
	return victim, admitted
}

// closeAll closes the connections of entries that were removed, and gives up what was reserved for their bodies.
func closeAll(victims ...*entry) {
	for _, victim := range victims {
		if victim == nil {
			continue
		}
		victim.end()
		if victim.release != nil {
			victim.release()
		}
	}
}

type connKey struct{}

// ConnContext is the hook of that name of an http.Server whose listener is a limiter's.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// connOf returns the connection of a request, or nil if its server has no limiter.
func connOf(ctx context.Context) *Conn {
	connection, _ := ctx.Value(connKey{}).(*Conn)
	return connection
}

// ConnState is the hook of that name of an http.Server whose listener is a limiter's.
func ConnState(connection net.Conn, state http.ConnState) {
	if limited, ok := connection.(*Conn); ok && state == http.StateIdle {
		limited.answered()
	}
}

// Handler returns a handler that records how far each request has arrived. It aborts a request whose connection was closed before it was whole.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		connection := connOf(request.Context())
		if connection == nil {
			next.ServeHTTP(response, request)
			return
		}
		whole := request.Body == nil || request.Body == http.NoBody
		if !connection.headArrived(whole) {
			panic(http.ErrAbortHandler)
		}
		if !whole {
			request.Body = &arrivingBody{ReadCloser: request.Body, connection: connection}
		}
		next.ServeHTTP(response, request)
		connection.boundWrite()
	})
}

// Reserved records that memory was reserved for the body of a request that is still to come. release gives it up, and is called if another
// request needs the memory and the body comes too slowly. Reserved calls it at once if the connection was closed.
func Reserved(ctx context.Context, release func()) {
	if connection := connOf(ctx); connection != nil {
		connection.reserved(release)
	}
}

// FreeLate closes a connection whose body comes too slowly for the memory that is reserved for it, and gives up the reservation. It returns
// false if there is none. The request of ctx asks for the memory.
func FreeLate(ctx context.Context) bool {
	connection := connOf(ctx)
	return connection != nil && connection.limiter.freeLate(connection)
}

func (l *Limiter) freeLate(asking *Conn) bool {
	l.mutex.Lock()
	victim := l.ledger.latest(&asking.entry, l.now())
	l.mutex.Unlock()
	closeAll(victim)
	return victim != nil
}
