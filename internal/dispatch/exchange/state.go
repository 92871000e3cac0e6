package exchange

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/engine"
)

const permille = 1000

// encodeState encodes a view that has a report.
func encodeState(view *dispatch.RunnerView) *dispatchpb.RunnerState {
	report := view.ReportToShare()
	state := &dispatchpb.RunnerState{
		Runner:             string(view.ID),
		AgeMilliseconds:    uint32(view.ReportAge.Milliseconds()),
		RunningOnline:      uint32(report.RunningOnline),
		RunningBatch:       uint32(report.RunningBatch),
		WaitingOnline:      uint32(report.WaitingOnline),
		WaitingBatch:       uint32(report.WaitingBatch),
		MaxSequences:       uint32(report.MaxSequences),
		MemoryUsedPermille: uint32(report.MemoryUsed * permille),
		MemoryTokens:       uint32(report.MemoryTokens),
		StepMicroseconds:   uint32(report.StepTime.Microseconds()),
		Adapters:           report.Adapters,
		Leaving:            report.Leaving,
		KnownOnline:        uint32(view.OwnInFlight + view.PeersInFlight),
	}
	for _, loaded := range report.Models {
		state.Models = append(state.Models, &dispatchpb.Model{Name: loaded.Name, Version: loaded.Version})
	}
	return state
}

// decodeState decodes a state. Online requests that the owner knows in excess of the engine's report count as running.
func decodeState(state *dispatchpb.RunnerState, now time.Time) engine.LoadReport {
	report := engine.LoadReport{
		Measured:      now.Add(-time.Duration(state.GetAgeMilliseconds()) * time.Millisecond),
		RunningOnline: int(state.GetRunningOnline()),
		RunningBatch:  int(state.GetRunningBatch()),
		WaitingOnline: int(state.GetWaitingOnline()),
		WaitingBatch:  int(state.GetWaitingBatch()),
		MaxSequences:  int(state.GetMaxSequences()),
		MemoryUsed:    float64(state.GetMemoryUsedPermille()) / permille,
		MemoryTokens:  int(state.GetMemoryTokens()),
		StepTime:      time.Duration(state.GetStepMicroseconds()) * time.Microsecond,
		Adapters:      state.GetAdapters(),
		Leaving:       state.GetLeaving(),
	}
	for _, loaded := range state.GetModels() {
		report.Models = append(report.Models, engine.LoadedModel{Name: loaded.GetName(), Version: loaded.GetVersion()})
	}
	known := int(state.GetKnownOnline())
	if reported := report.RunningOnline + report.WaitingOnline; known > reported {
		report.RunningOnline += known - reported
	}
	return report
}
