package node

import (
	"context"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/settings"
)

func TestProcessorsWithinTheirBounds(t *testing.T) {
	for _, test := range []struct {
		processors, idle       int
		disk                   settings.Path
		available, least, most int
	}{
		{0, 0, "", 12, 1, 12},
		{0, 0, "data", 12, 2, 12},
		{0, 0, "data", 1, 1, 1},
		{0, 1, "data", 12, 1, 12},
		{4, 2, "", 12, 2, 4},
		{16, 1, "", 2, 1, 2},
		{0, 8, "", 2, 2, 2},
	} {
		config := settings.Settings{DataDir: test.disk}
		config.Process = settings.Process{Processors: test.processors, IdleProcessors: test.idle}
		scaler := newProcessorScaler(config, test.available)
		assert.Equal(t, scaler.current, test.least, "%v", test)
		assert.Equal(t, scaler.most, test.most, "%v", test)
	}
}

func idleSettings(idle int) settings.Settings {
	return settings.Settings{Process: settings.Process{IdleProcessors: idle}}
}

// Whatever the load was before: a load that fills what is in use has all processors after as many looks as doublings
// take, a quiet node has the least in the end and not before it was quiet for quietLooks, and a steady load between the
// two changes nothing.
func TestProcessorsFollowTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		available := rapid.IntRange(1, 128).Draw(t, "available")
		scaler := newProcessorScaler(idleSettings(rapid.IntRange(1, available).Draw(t, "idle")), available)
		for _, share := range rapid.SliceOfN(rapid.Float64Range(0, 1), 0, 200).Draw(t, "shares") {
			before := scaler.current
			changed := scaler.next(share * float64(scaler.current))
			assert.Equal(t, changed, scaler.current != before)
			assert.Assert(t, scaler.least <= scaler.current && scaler.current <= scaler.most, "%+v", scaler)
		}
		const doublings = 7
		for range doublings {
			scaler.next(float64(scaler.current))
		}
		assert.Equal(t, scaler.current, scaler.most)
		for range quietLooks {
			assert.Equal(t, scaler.current, scaler.most)
			scaler.next(0)
		}
		for range doublings * quietLooks {
			scaler.next(0)
		}
		assert.Equal(t, scaler.current, scaler.least)
	})
}

// A load that made the node take more processors does not make it give them up again: it would swing for ever.
func TestProcessorsDoNotSwing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaler := newProcessorScaler(idleSettings(1), 64)
		busy := rapid.Float64Range(0, 64).Draw(t, "busy")
		changes := 0
		for range 100 * quietLooks {
			if scaler.next(min(busy, float64(scaler.current))) {
				changes++
			}
		}
		const doublings = 6
		assert.Assert(t, changes <= doublings, "%d changes at %v processors busy", changes, busy)
	})
}

// The least processors are set at the start, and those of before are back at the end.
func TestProcessorsAreGivenBack(t *testing.T) {
	const idle = 2
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(idle + 1))
	quiet := &Node{settings: idleSettings(idle)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- quiet.followLoad(ctx) }()
	for runtime.GOMAXPROCS(0) != idle {
		runtime.Gosched()
	}
	cancel()
	assert.NilError(t, <-done)
	assert.Equal(t, runtime.GOMAXPROCS(0), idle+1)
}
