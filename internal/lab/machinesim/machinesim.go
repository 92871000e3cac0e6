// Package machinesim is the lab's stand-in for the platform's machine list: a JSON list over HTTP that shows every
// change only after a stated lag, and a separate fault port that changes it.
package machinesim

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/simhttp"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// PathMachines is the path of the list.
const PathMachines = "/machines"

// Faults are the faults of the list, as the fault port reads and writes them.
type Faults struct {
	// LagMilliseconds is how old the list is that callers are shown.
	LagMilliseconds float64 `json:"lag_ms"`
	// Outage answers every reading with 503.
	Outage bool `json:"outage"`
	// Frozen keeps showing the list as it was when this was set.
	Frozen bool `json:"frozen"`
}

// version is the list as it stood from an instant on.
type version struct {
	since time.Time
	list  machine.List
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	now func() time.Time

	mutex    sync.Mutex
	faults   Faults
	frozenAt time.Time
	// history holds the versions that a lagging reading may still show, oldest first.
	history []version
}

// New returns an empty list with a lag.
func New(lag time.Duration, now func() time.Time) *Server {
	return &Server{
		now:     now,
		faults:  Faults{LagMilliseconds: float64(lag) / float64(time.Millisecond)},
		history: []version{{}},
	}
}

// Set adds or replaces a runner.
func (s *Server) Set(runner machine.Runner) {
	s.change(func(runners []machine.Runner) []machine.Runner {
		return append(without(runners, runner.ID), runner)
	})
}

// Remove takes a runner off the list.
func (s *Server) Remove(id ident.Runner) {
	s.change(func(runners []machine.Runner) []machine.Runner { return without(runners, id) })
}

// MarkLeaving marks a runner as leaving and reports whether it was listed.
func (s *Server) MarkLeaving(id ident.Runner) bool {
	listed := false
	s.change(func(runners []machine.Runner) []machine.Runner {
		for i := range runners {
			if runners[i].ID == id {
				runners[i].State = machine.Leaving
				listed = true
			}
		}
		return runners
	})
	return listed
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Frozen && !s.faults.Frozen {
		s.frozenAt = s.shownInstant()
	}
	s.faults = faults
}

// Shown returns the list that a caller sees now.
func (s *Server) Shown() machine.List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	instant := s.shownInstant()
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].since.After(instant) {
			return s.history[i].list
		}
	}
	return s.history[0].list
}

func (s *Server) shownInstant() time.Time {
	if s.faults.Frozen {
		return s.frozenAt
	}
	return s.now().Add(-time.Duration(s.faults.LagMilliseconds * float64(time.Millisecond)))
}

func (s *Server) change(edit func([]machine.Runner) []machine.Runner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := s.history[len(s.history)-1].list
	runners := edit(slices.Clone(newest.Runners))
	slices.SortFunc(runners, func(a, b machine.Runner) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.history = append(s.history, version{
		since: s.now(),
		list:  machine.List{Version: newest.Version + 1, Runners: runners},
	})
}

func without(runners []machine.Runner, id ident.Runner) []machine.Runner {
	return slices.DeleteFunc(runners, func(runner machine.Runner) bool { return runner.ID == id })
}

// Handler serves the list.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.GET(PathMachines, func(writer http.ResponseWriter, _ bunrouter.Request) error {
		if s.outage() {
			http.Error(writer, "machine list outage", http.StatusServiceUnavailable)
			return nil
		}
		simhttp.WriteJSON(writer, s.Shown())
		return nil
	})
	return router
}

func (s *Server) outage() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Outage
}

// FaultHandler serves the fault port: PUT and DELETE /machines/ID, POST /machines/ID/leaving, PUT /faults.
func (s *Server) FaultHandler() http.Handler {
	router := bunrouter.New()
	router.PUT("/machines/:id", func(writer http.ResponseWriter, request bunrouter.Request) error {
		runner := machine.Runner{State: machine.Live}
		if !simhttp.ReadJSON(writer, request.Request, &runner) {
			return nil
		}
		runner.ID = ident.Runner(request.Param("id"))
		s.Set(runner)
		writer.WriteHeader(http.StatusNoContent)
		return nil
	})
	router.DELETE("/machines/:id", func(writer http.ResponseWriter, request bunrouter.Request) error {
		s.Remove(ident.Runner(request.Param("id")))
		writer.WriteHeader(http.StatusNoContent)
		return nil
	})
	router.POST("/machines/:id/leaving", func(writer http.ResponseWriter, request bunrouter.Request) error {
		if !s.MarkLeaving(ident.Runner(request.Param("id"))) {
			http.Error(writer, "no such machine", http.StatusNotFound)
			return nil
		}
		writer.WriteHeader(http.StatusNoContent)
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
