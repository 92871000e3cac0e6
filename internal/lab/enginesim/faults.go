package enginesim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults switches misbehaviour on. Probabilities are 0 to 1 and drawn from the engine's seed.
type Faults struct {
	// DelayMilliseconds holds every answer back, with DelayProbability.
	DelayMilliseconds float64 `json:"delay_ms"`
	DelayProbability  float64 `json:"delay_probability"`
	// DropBefore closes the connection before a generation call is accepted: it does not run.
	DropBefore float64 `json:"drop_before"`
	// DropAfter closes the connection after a generation call is accepted and before any answer: it runs.
	DropAfter float64 `json:"drop_after"`
	// Refuse answers generation calls with 429 and the not-run marking.
	Refuse float64 `json:"refuse"`
	// Fail answers generation calls with 500 and no word on whether they ran.
	Fail float64 `json:"fail"`
	// CutProbability closes a stream's connection after CutAfterTokens; the engine holds the stream for a resume.
	CutProbability float64 `json:"cut_probability"`
	CutAfterTokens int     `json:"cut_after_tokens"`
	// DieProbability loses a stream after DieAfterTokens: the connection closes and a resume finds nothing.
	DieProbability float64 `json:"die_probability"`
	DieAfterTokens int     `json:"die_after_tokens"`
	// Freeze stops all steps and answers until it is taken back.
	Freeze bool `json:"freeze"`
	// Duplicate sends a chunk twice; Reorder swaps a chunk with the next. Both are per chunk.
	Duplicate float64 `json:"duplicate"`
	Reorder   float64 `json:"reorder"`
	// LoadLagMilliseconds replaces the lag of load reports if it is not zero.
	LoadLagMilliseconds float64 `json:"load_lag_ms"`
	// EventGap loses a cache event.
	EventGap float64 `json:"event_gap"`
}

// faultSwitch holds the faults in force.
type faultSwitch struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// thawed is closed while the engine is not frozen.
	thawed chan struct{}
}

func newFaultSwitch(seed uint64) *faultSwitch {
	thawed := make(chan struct{})
	close(thawed)
	return &faultSwitch{random: rand.New(rand.NewPCG(seed, seed)), thawed: thawed}
}

func (s *faultSwitch) set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !faults.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = faults
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// happens draws an event of the given probability.
func (s *faultSwitch) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

func (s *faultSwitch) gate() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.thawed
}

// waitThawed returns false if the context ends first.
func (s *faultSwitch) waitThawed(ctx context.Context) bool {
	select {
	case <-s.gate():
		return true
	case <-ctx.Done():
		return false
	}
}

// delay holds the caller back if the delay fault strikes.
func (s *faultSwitch) delay(ctx context.Context) {
	faults := s.get()
	if !s.happens(faults.DelayProbability) {
		return
	}
	timer := time.NewTimer(time.Duration(faults.DelayMilliseconds * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// streamFault is how one stream misbehaves; a negative count means never.
type streamFault struct {
	cutAfter, dieAfter int
	duplicate, reorder float64
}

func (s *faultSwitch) forStream() streamFault {
	faults := s.get()
	chosen := streamFault{cutAfter: -1, dieAfter: -1, duplicate: faults.Duplicate, reorder: faults.Reorder}
	if s.happens(faults.CutProbability) {
		chosen.cutAfter = faults.CutAfterTokens
	}
	if s.happens(faults.DieProbability) {
		chosen.dieAfter = faults.DieAfterTokens
	}
	return chosen
}
