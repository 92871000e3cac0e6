// Package callmeter counts the calls that a node makes to other nodes and the bytes of their messages, by kind and by whether
// they leave the node's zone, so that operators see which kind of message the traffic of a fleet consists of.
package callmeter

import (
	"context"
	"sync"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Meter counts calls. It is safe for concurrent use.
type Meter struct {
	// Zone is the zone of this node.
	Zone ident.Zone
	// ZoneOf returns the zone of the node at an address, or false if the address is unknown. It is set before the first call
	// of Take.
	ZoneOf func(address string) (ident.Zone, bool)

	mutex  sync.Mutex
	counts map[call]Count
}

// call identifies what is counted together.
type call struct{ address, method string }

// Count is the number of calls, and the bytes of their encoded requests and answers.
type Count struct {
	Calls    int `json:"calls"`
	Sent     int `json:"sent"`
	Received int `json:"received"`
}

func (c Count) plus(other Count) Count {
	return Count{Calls: c.Calls + other.Calls, Sent: c.Sent + other.Sent, Received: c.Received + other.Received}
}

// Wrap returns connections like those of connect whose calls are counted.
func (m *Meter) Wrap(connect func(address string) (drpc.Conn, error)) func(address string) (drpc.Conn, error) {
	return func(address string) (drpc.Conn, error) {
		connection, err := connect(address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: connection, meter: m, address: address}, nil
	}
}

// Take returns the counts since the last Take, by method, followed by " far" for calls to other zones and by " unknown" for
// calls to addresses of unknown zone.
func (m *Meter) Take() map[string]Count {
	m.mutex.Lock()
	counts := m.counts
	m.counts = nil
	m.mutex.Unlock()
	taken := map[string]Count{}
	for made, count := range counts {
		kind := made.method + m.suffix(made.address)
		taken[kind] = taken[kind].plus(count)
	}
	return taken
}

func (m *Meter) suffix(address string) string {
	zone, known := m.ZoneOf(address)
	switch {
	case !known:
		return " unknown"
	case zone != m.Zone:
		return " far"
	}
	return ""
}

func (m *Meter) add(made call, count Count) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.counts == nil {
		m.counts = map[call]Count{}
	}
	m.counts[made] = m.counts[made].plus(count)
}

// meteredConn is a connection whose calls are counted.
type meteredConn struct {
	drpc.Conn
	meter   *Meter
	address string
}

// Invoke implements drpc.Conn.
func (c *meteredConn) Invoke(ctx context.Context, method string, encoding drpc.Encoding, in, out drpc.Message) error {
	sizes := &sizedEncoding{Encoding: encoding}
	err := c.Conn.Invoke(ctx, method, sizes, in, out)
	c.meter.add(call{address: c.address, method: method}, Count{Calls: 1, Sent: sizes.sent, Received: sizes.received})
	return err
}

// sizedEncoding records the sizes of the messages of one call. A call that is repeated on another connection sends its request
// once more.
type sizedEncoding struct {
	drpc.Encoding
	sent, received int
}

// Marshal implements drpc.Encoding.
func (e *sizedEncoding) Marshal(message drpc.Message) ([]byte, error) {
	encoded, err := e.Encoding.Marshal(message)
	e.sent += len(encoded)
	return encoded, err
}

// Unmarshal implements drpc.Encoding.
func (e *sizedEncoding) Unmarshal(buffer []byte, message drpc.Message) error {
	e.received += len(buffer)
	return e.Encoding.Unmarshal(buffer, message)
}
