package kvsim

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"

	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
	"mallowlatch.example/mallowlatch/internal/lab/simhttp"
)

// Outage says how calls fail while the service is away.
type Outage string

// The kinds of outage.
const (
	// OutageNone means the service is up.
	OutageNone Outage = ""
	// OutageRefuse answers every call at once with 503 "no leader", before it takes effect.
	OutageRefuse Outage = "refuse"
	// OutageHang holds every call, not applied, until its client goes.
	OutageHang Outage = "hang"
)

// Faults are the faults of the stand-in, as the fault port reads and writes them. The zero value has none.
type Faults struct {
	// RatePerSecond and Burst refuse calls beyond a rate over all clients with 429; zero means no limit.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
	Outage        Outage  `json:"outage"`
	// DelayMilliseconds and JitterMilliseconds hold each call before it takes effect.
	DelayMilliseconds  float64 `json:"delay_ms"`
	JitterMilliseconds float64 `json:"jitter_ms"`
	// LoseAnswers is the chance that a change takes effect and its answer is lost.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNextAnswers loses the answers of that many changes to come, for certain.
	LoseNextAnswers int `json:"lose_next_answers"`
	// CutOffClients hang as in OutageHang; a client is named by its header, or its IP address without one.
	CutOffClients []string `json:"cut_off_clients"`
}

type faultState struct {
	mutex   sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	random  *rand.Rand
	calls   int64
	limited int64
	dropped chan struct{}
}

func newFaultState(seed uint64) *faultState {
	return &faultState{
		random:  rand.New(rand.NewPCG(seed, seed)),
		dropped: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.set(faults) }

// DropWatches closes the connection of every watch once.
func (s *Server) DropWatches() { s.faults.dropWatches() }

// Counters count calls since the start.
type Counters struct {
	Calls   int64 `json:"calls"`
	Limited int64 `json:"limited"`
}

// Counters returns how many calls came in and how many the rate limit refused.
func (s *Server) Counters() Counters {
	s.faults.mutex.Lock()
	defer s.faults.mutex.Unlock()
	return Counters{Calls: s.faults.calls, Limited: s.faults.limited}
}

// FaultHandler serves the fault port: GET and PUT /faults, POST /watches/drop, POST /compact, GET /counters.
func (s *Server) FaultHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/faults", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		simhttp.WriteJSON(writer, s.faults.get())
		return nil
	})
	router.PUT("/faults", func(writer http.ResponseWriter, request bunrouter.Request) error {
		var faults Faults
		if simhttp.ReadJSON(writer, request.Request, &faults) {
			s.SetFaults(faults)
			simhttp.WriteJSON(writer, s.faults.get())
		}
		return nil
	})
	router.POST("/watches/drop", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		s.DropWatches()
		writer.WriteHeader(http.StatusNoContent)
		return nil
	})
	router.POST("/compact", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		s.data.Compact(s.data.Revision())
		writer.WriteHeader(http.StatusNoContent)
		return nil
	})
	router.GET("/counters", func(writer http.ResponseWriter, _ bunrouter.Request) error {
		simhttp.WriteJSON(writer, s.Counters())
		return nil
	})
	return router
}

func (f *faultState) get() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

func (f *faultState) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
	f.limiter = nil
	if faults.RatePerSecond > 0 {
		f.limiter = rate.NewLimiter(rate.Limit(faults.RatePerSecond), max(1, faults.Burst))
	}
}

func (f *faultState) dropWatches() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.dropped)
	f.dropped = make(chan struct{})
}

func (f *faultState) watchDropped() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.dropped
}

// cutOff reports whether the client's watches are silenced.
func (f *faultState) cutOff(client string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults.Outage != OutageNone || slices.Contains(f.faults.CutOffClients, client)
}

// admit applies the faults that strike before a call takes effect. It reports whether the call goes on; if not, the
// answer has been written.
func (f *faultState) admit(writer http.ResponseWriter, request *http.Request) bool {
	faults, limiter, delay := f.draw()
	if faults.Outage == OutageHang || slices.Contains(faults.CutOffClients, clientOf(request)) {
		// The server only notices that a client has gone once the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		return false
	}
	if faults.Outage == OutageRefuse {
		writeError(writer, etcdwire.Error{Code: etcdwire.CodeUnavailable, Message: etcdwire.MessageNoLeader})
		return false
	}
	if limiter != nil && !limiter.Allow() {
		f.countLimited()
		writeError(writer, etcdwire.Error{Code: etcdwire.CodeResourceExhausted, Message: etcdwire.MessageTooMany})
		return false
	}
	return wait(request, delay)
}

func (f *faultState) draw() (Faults, *rate.Limiter, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	milliseconds := f.faults.DelayMilliseconds + f.random.Float64()*f.faults.JitterMilliseconds
	return f.faults, f.limiter, time.Duration(milliseconds * float64(time.Millisecond))
}

func (f *faultState) countLimited() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.limited++
}

// wait holds the call and reports whether its client is still there.
func wait(request *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-request.Context().Done():
		return false
	}
}

func (f *faultState) loseAnswer() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.faults.LoseNextAnswers > 0 {
		f.faults.LoseNextAnswers--
		return true
	}
	return f.random.Float64() < f.faults.LoseAnswers
}

func clientOf(request *http.Request) string {
	if name := request.Header.Get(etcdwire.ClientHeader); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return request.RemoteAddr
	}
	return host
}
