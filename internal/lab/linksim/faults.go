package linksim

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"

	"mallowlatch.example/mallowlatch/internal/lab/simhttp"
)

// Faults are the faults of a link, as the fault port reads and writes them. The zero value has none.
type Faults struct {
	// Cut drops every connection and has new ones refused.
	Cut bool `json:"cut"`
	// CutSenders are ids of processes of this machine: their connections are dropped and new ones closed at once, those
	// of others pass.
	CutSenders []int `json:"cut_senders,omitempty"`
	// Freeze keeps connections open and passes nothing, as a link that loses every packet does. What was under way
	// arrives after the end of the freeze.
	Freeze bool `json:"freeze"`
	// DelayMilliseconds and JitterMilliseconds hold back each piece, one way; the jitter is even between zero and its
	// value.
	DelayMilliseconds  float64 `json:"delay_ms"`
	JitterMilliseconds float64 `json:"jitter_ms"`
	// BytesPerSecond bounds each way over all connections; zero means no limit.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Counters count since the start.
type Counters struct {
	Connections     int64 `json:"connections"`
	BytesToTarget   int64 `json:"bytes_to_target"`
	BytesFromTarget int64 `json:"bytes_from_target"`
}

// state is what the connections of a link share.
type state struct {
	connections          atomic.Int64
	toTarget, fromTarget *direction

	mutex  sync.Mutex
	faults Faults
	random *rand.Rand
	// thawed is closed unless the link is frozen.
	thawed chan struct{}
}

func newState(seed uint64) *state {
	thawed := make(chan struct{})
	close(thawed)
	return &state{
		toTarget:   newDirection(),
		fromTarget: newDirection(),
		random:     rand.New(rand.NewPCG(seed, seed)),
		thawed:     thawed,
	}
}

func (s *state) get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func (s *state) set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !faults.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	limit := rate.Inf
	if faults.BytesPerSecond > 0 {
		limit = rate.Limit(faults.BytesPerSecond)
	}
	s.toTarget.limiter.SetLimit(limit)
	s.fromTarget.limiter.SetLimit(limit)
	s.faults = faults
}

// delay draws how long the next piece is held.
func (s *state) delay() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	milliseconds := s.faults.DelayMilliseconds + s.random.Float64()*s.faults.JitterMilliseconds
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// waitThawed waits while the link is frozen, and reports false if the connection was dropped meanwhile.
func (s *state) waitThawed(dropped <-chan struct{}) bool {
	s.mutex.Lock()
	thawed := s.thawed
	s.mutex.Unlock()
	select {
	case <-thawed:
		return true
	case <-dropped:
		return false
	}
}

// Counters returns what passed so far.
func (l *Link) Counters() Counters {
	return Counters{
		Connections:     l.state.connections.Load(),
		BytesToTarget:   l.state.toTarget.bytes.Load(),
		BytesFromTarget: l.state.fromTarget.bytes.Load(),
	}
}

// FaultHandler serves the fault port: GET, PUT and DELETE /faults, GET /counters.
func (l *Link) FaultHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/faults", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		simhttp.WriteJSON(writer, l.Faults())
		return nil
	})
	router.PUT("/faults", func(writer http.ResponseWriter, request bunrouter.Request) error {
		var faults Faults
		if simhttp.ReadJSON(writer, request.Request, &faults) {
			l.answerSet(writer, faults)
		}
		return nil
	})
	router.DELETE("/faults", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		l.answerSet(writer, Faults{})
		return nil
	})
	router.GET("/counters", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		simhttp.WriteJSON(writer, l.Counters())
		return nil
	})
	return router
}

func (l *Link) answerSet(writer http.ResponseWriter, faults Faults) {
	if err := l.SetFaults(faults); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	simhttp.WriteJSON(writer, l.Faults())
}
