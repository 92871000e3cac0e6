// Package weightsim is the lab's stand-in for the platform's weight store: it describes artifacts and shares out a
// limited rate by reservations, over HTTP, with a separate fault port.
package weightsim

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/lab/simhttp"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// Faults are the faults of the store, as the fault port reads and writes them.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// BytesPerSecond is the rate that reservations share; zero means no limit.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// CallsPerSecond refuses calls beyond it with 429 and Retry-After; zero means no limit.
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Reservation answers a reservation.
type Reservation struct {
	// NotBeforeMilliseconds is how long to wait before the load.
	NotBeforeMilliseconds int64 `json:"not_before_ms"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	now func() time.Time

	mutex     sync.Mutex
	faults    Faults
	artifacts map[string]weight.Artifact
	// freeAt is when the loads reserved so far will be done at the store's rate.
	freeAt time.Time
	// nextCall is when the next call is within the rate of calls.
	nextCall time.Time
}

// New returns a store without artifacts.
func New(faults Faults, now func() time.Time) *Server {
	return &Server{now: now, faults: faults, artifacts: map[string]weight.Artifact{}}
}

// Put adds or replaces an artifact.
func (s *Server) Put(artifact weight.Artifact) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.artifacts[artifactKey(artifact.Name, artifact.Version)] = artifact
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func artifactKey(name, version string) string { return name + "@" + version }

// Handler serves GET /artifacts/NAME/VERSION and POST /reservations.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.GET("/artifacts/:name/:version", func(writer http.ResponseWriter, request bunrouter.Request) error {
		if s.admit(writer) {
			s.serveDescribe(writer, request)
		}
		return nil
	})
	router.POST("/reservations", func(writer http.ResponseWriter, request bunrouter.Request) error {
		if s.admit(writer) {
			s.serveReserve(writer, request)
		}
		return nil
	})
	return router
}

// admit applies the faults and reports whether the call goes on.
func (s *Server) admit(writer http.ResponseWriter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Outage {
		http.Error(writer, "weight store outage", http.StatusServiceUnavailable)
		return false
	}
	if s.faults.CallsPerSecond <= 0 {
		return true
	}
	now := s.now()
	if now.Before(s.nextCall) {
		writer.Header().Set("Retry-After", strconv.Itoa(1+int(s.nextCall.Sub(now)/time.Second)))
		http.Error(writer, "too many calls", http.StatusTooManyRequests)
		return false
	}
	s.nextCall = now.Add(time.Duration(float64(time.Second) / s.faults.CallsPerSecond))
	return true
}

func (s *Server) serveDescribe(writer http.ResponseWriter, request bunrouter.Request) {
	s.mutex.Lock()
	artifact, exists := s.artifacts[artifactKey(request.Param("name"), request.Param("version"))]
	s.mutex.Unlock()
	if !exists {
		http.Error(writer, "no such weights", http.StatusNotFound)
		return
	}
	simhttp.WriteJSON(writer, artifact)
}

func (s *Server) serveReserve(writer http.ResponseWriter, request bunrouter.Request) {
	var artifact weight.Artifact
	if !simhttp.ReadJSON(writer, request.Request, &artifact) {
		return
	}
	wait := s.reserve(artifact.Bytes)
	simhttp.WriteJSON(writer, Reservation{NotBeforeMilliseconds: wait.Milliseconds()})
}

// reserve books the bytes after those already booked and returns the wait until their turn.
func (s *Server) reserve(bytes int64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.BytesPerSecond <= 0 {
		return 0
	}
	now := s.now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	wait := s.freeAt.Sub(now)
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) / s.faults.BytesPerSecond * float64(time.Second)))
	return wait
}

// FaultHandler serves the fault port: PUT /artifacts and PUT /faults.
func (s *Server) FaultHandler() http.Handler {
	router := bunrouter.New()
	router.PUT("/artifacts", func(writer http.ResponseWriter, request bunrouter.Request) error {
		var artifact weight.Artifact
		if simhttp.ReadJSON(writer, request.Request, &artifact) {
			s.Put(artifact)
			writer.WriteHeader(http.StatusNoContent)
		}
		return nil
	})
	router.PUT("/faults", func(writer http.ResponseWriter, request bunrouter.Request) error {
		var faults Faults
		if simhttp.ReadJSON(writer, request.Request, &faults) {
			s.SetFaults(faults)
			writer.WriteHeader(http.StatusNoContent)
		}
		return nil
	})
	return router
}
