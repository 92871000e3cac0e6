package node

import (
	"math"
	"sync"
	"time"
)

// demandHalfLife is how long a peak of a model's demand takes to count half.
const demandHalfLife = time.Minute

// demandMeter follows how many sequences this node's callers have under way at once, by model. A peak fades slowly, so
// that copies are not unloaded in a short lull.
type demandMeter struct {
	now func() time.Time

	mutex  sync.Mutex
	models map[string]*modelDemand
}

type modelDemand struct {
	inFlight int
	peak     float64
	at       time.Time
}

func newDemandMeter(now func() time.Time) *demandMeter {
	return &demandMeter{now: now, models: map[string]*modelDemand{}}
}

func (m *demandMeter) begin(model string) { m.change(model, 1) }
func (m *demandMeter) end(model string)   { m.change(model, -1) }

func (m *demandMeter) change(model string, by int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry := m.models[model]
	if entry == nil {
		entry = &modelDemand{at: m.now()}
		m.models[model] = entry
	}
	entry.fade(m.now())
	entry.inFlight += by
	entry.peak = max(entry.peak, float64(entry.inFlight))
}

// fade lets the peak decay towards the sequences under way.
func (d *modelDemand) fade(now time.Time) {
	halves := now.Sub(d.at).Seconds() / demandHalfLife.Seconds()
	d.peak = max(float64(d.inFlight), d.peak*math.Exp2(-halves))
	d.at = now
}

// demand returns the faded peaks by model.
func (m *demandMeter) demand() map[string]float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	result := make(map[string]float64, len(m.models))
	for model, entry := range m.models {
		entry.fade(m.now())
		result[model] = entry.peak
	}
	return result
}
