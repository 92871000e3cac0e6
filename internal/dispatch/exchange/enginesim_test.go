package exchange

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/cacheindex"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// singleEngine returns the same engine for every runner.
type singleEngine struct{ engine engine.Engine }

func (o singleEngine) Engine(ident.Runner) (engine.Engine, bool) { return o.engine, true }

// TestOwnerFollowsCacheOfSimulatedEngine sends a long prompt directly to a simulated engine, with one cache event in five lost.
// It checks that the owner and a node that uses the runner detect over the engine's HTTP protocol that the prompt is cached,
// and that it is not after a restart of the engine.
func TestOwnerFollowsCacheOfSimulatedEngine(t *testing.T) {
	options := enginesim.Options{Models: []string{"m"}, EventLag: time.Nanosecond, TimeScale: 50}
	running := enginesim.New(options)
	address, err := running.Start()
	assert.NilError(t, err)
	running.SetFaults(enginesim.Faults{EventGap: 0.2})
	fleet := &drpcFleet{t: t, nodes: map[ident.Node]*Exchange{}, engines: singleEngine{openaihttp.New(address, nil)}}
	owner := fleet.add("owner", Peer{"other", "a"})
	other := fleet.add("other", Peer{"owner", "a"})
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": strings.Repeat("eligibility ", 3000), "max_tokens": 1})
	assert.NilError(t, err)
	prompt, err := enginesim.ParsePrompt(body)
	assert.NilError(t, err)
	blocks := prompt.Blocks(enginesim.DefaultBlockTokens)
	matched := func(table *dispatch.Table) int {
		other.Start("r", nil)
		other.End("r")
		snapshot := table.Snapshot("a", nil, "m", blocks, time.Now())
		if len(snapshot.Runners) == 0 {
			return -1
		}
		return snapshot.Runners[0].PrefixBlocks
	}
	both := func(holds func(depth int) bool) func() bool {
		return func() bool { return holds(matched(owner)) && holds(matched(other)) }
	}
	eventually(t, "the empty cache is followed", func() bool {
		delta, known := fleet.nodes["owner"].core.caches.since("r", cacheindex.Mark{})
		return known && delta.Listed
	})
	response, err := http.Post("http://"+address+string(inference.Completions), "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	sampled := 0
	for index, block := range blocks {
		if block%(1<<cacheindex.BaseSampleBits) == 0 {
			sampled = index + 1
		}
	}
	assert.Assert(t, sampled > len(blocks)/2)
	eventually(t, "the prompt is known to be cached", both(func(depth int) bool { return depth >= sampled }))
	assert.NilError(t, running.Stop())
	options.Listen = address
	running = enginesim.New(options)
	_, err = running.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, running.Stop()) })
	eventually(t, "the restart is detected", both(func(depth int) bool { return depth == 0 }))
}
