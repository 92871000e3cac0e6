package openaihttp_test

import (
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// fast makes a step short enough for tests.
const fast = 50

func startEngine(t *testing.T, options enginesim.Options) (*enginesim.Engine, engine.Engine) {
	t.Helper()
	options.TimeScale = fast
	running := enginesim.New(options)
	address, err := running.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, running.Stop()) })
	return running, openaihttp.New(address, nil)
}

type chunkText struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readSome reads up to limit chunks and returns their text, the offset after them and whether the answer is whole.
func readSome(t *testing.T, stream engine.Stream, offset, limit int) (string, int, bool, error) {
	t.Helper()
	var text strings.Builder
	for range limit {
		chunk, err := stream.Next()
		if err != nil {
			return text.String(), offset, false, err
		}
		assert.Equal(t, chunk.Offset, offset)
		var parsed chunkText
		assert.NilError(t, json.Unmarshal(chunk.Data, &parsed))
		text.WriteString(parsed.Choices[0].Delta.Content)
		offset += chunk.Tokens
		if chunk.Final {
			assert.Equal(t, chunk.Usage.CompletionTokens, offset)
			_, err := stream.Next()
			assert.Equal(t, err, io.EOF)
			return text.String(), offset, true, nil
		}
	}
	return text.String(), offset, false, nil
}

const longBody = `{"model":"service","messages":[{"role":"user","content":"hello"}],"max_tokens":60,"min_tokens":60}`

func TestWholeAnswer(t *testing.T) {
	_, client := startEngine(t, enginesim.Options{})
	stream, err := client.Generate(t.Context(), newCall(longBody))
	assert.NilError(t, err)
	text, _, whole, err := readSome(t, stream, 0, 100)
	assert.NilError(t, err)
	assert.Assert(t, whole)
	assert.NilError(t, enginesim.Check([]byte(longBody), text))
	assert.NilError(t, stream.Close())
}

func TestResumeAfterCut(t *testing.T) {
	running, client := startEngine(t, enginesim.Options{})
	running.SetFaults(enginesim.Faults{CutProbability: 1, CutAfterTokens: 7})
	stream, err := client.Generate(t.Context(), newCall(longBody))
	assert.NilError(t, err)
	before, offset, _, err := readSome(t, stream, 0, 100)
	assert.ErrorIs(t, err, engine.ErrBroken)
	assert.NilError(t, stream.Close())
	running.SetFaults(enginesim.Faults{})
	resumed, err := client.Resume(t.Context(), "r1", offset)
	assert.NilError(t, err)
	defer resumed.Close()
	after, _, whole, err := readSome(t, resumed, offset, 100)
	assert.NilError(t, err)
	assert.Assert(t, whole)
	assert.NilError(t, enginesim.Check([]byte(longBody), before+after))
	assert.Equal(t, running.Runs(1)["r1"].Runs, 1)
}

func TestResumeOfLostStreamIsGone(t *testing.T) {
	running, client := startEngine(t, enginesim.Options{})
	running.SetFaults(enginesim.Faults{DieProbability: 1, DieAfterTokens: 3})
	stream, err := client.Generate(t.Context(), newCall(longBody))
	assert.NilError(t, err)
	_, offset, _, err := readSome(t, stream, 0, 100)
	assert.ErrorIs(t, err, engine.ErrBroken)
	_, err = client.Resume(t.Context(), "r1", offset)
	assert.ErrorIs(t, err, engine.ErrGone)
}

func TestAbortKeepsTokens(t *testing.T) {
	running, client := startEngine(t, enginesim.Options{})
	call := newCall(longBody)
	call.Request.Class = inference.Batch
	stream, err := client.Generate(t.Context(), call)
	assert.NilError(t, err)
	before, offset, _, err := readSome(t, stream, 0, 5)
	assert.NilError(t, err)
	assert.NilError(t, client.Abort(t.Context(), "r1", true))
	for err == nil {
		var more string
		more, offset, _, err = readSome(t, stream, offset, 1)
		before += more
	}
	assert.ErrorIs(t, err, engine.ErrBroken)
	call.Attempt, call.ResumeOffset = 2, offset
	continued, err := client.Generate(t.Context(), call)
	assert.NilError(t, err)
	defer continued.Close()
	after, _, whole, err := readSome(t, continued, offset, 100)
	assert.NilError(t, err)
	assert.Assert(t, whole)
	assert.NilError(t, enginesim.Check([]byte(longBody), before+after))
	assert.Equal(t, running.Runs(1)["r1"].Runs, 1)
	call.ResumeOffset = 1000
	_, err = client.Generate(t.Context(), call)
	assertAttempt(t, err, outcome.NotRun, engine.ErrGone)
}

func TestOrdersAreFenced(t *testing.T) {
	_, client := startEngine(t, enginesim.Options{LoadLag: time.Nanosecond})
	reply, err := client.Order(t.Context(), engine.Order{Kind: engine.OrderOwn, Epoch: 5, Node: "n1"})
	assert.NilError(t, err)
	assert.Equal(t, reply, engine.OrderReply{Epoch: 5, Owner: "n1"})
	for _, stale := range []engine.Order{
		{Kind: engine.OrderOwn, Epoch: 4, Node: "n2"},
		{Kind: engine.OrderOwn, Epoch: 5, Node: "n2"},
	} {
		reply, err = client.Order(t.Context(), stale)
		assert.ErrorIs(t, err, engine.ErrFenced)
		assert.Equal(t, reply.Epoch, uint64(5))
	}
	call := newCall(smallBody)
	call.Request.Class, call.OwnerEpoch = inference.Batch, 4
	_, err = client.Generate(t.Context(), call)
	assertAttempt(t, err, outcome.NotRun, engine.ErrFenced)
	_, err = client.Order(t.Context(), engine.Order{Kind: engine.OrderLeave, Epoch: 1})
	assert.NilError(t, err)
	_, err = client.Generate(t.Context(), newCall(smallBody))
	assertAttempt(t, err, outcome.NotRun, engine.ErrLeaving)
	_, err = client.Order(t.Context(), engine.Order{Kind: "dance"})
	assert.ErrorIs(t, err, engine.ErrRejected)
}

func TestLoadReportAndCacheEvents(t *testing.T) {
	_, client := startEngine(t, enginesim.Options{Adapters: []string{"a"}, EventLag: time.Nanosecond, BlockTokens: 1})
	stream, err := client.Generate(t.Context(), newCall(longBody))
	assert.NilError(t, err)
	defer stream.Close()
	_, _, _, err = readSome(t, stream, 0, 100)
	assert.NilError(t, err)
	report, err := client.Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Models, []engine.LoadedModel{{Name: "base", Version: "1"}})
	assert.DeepEqual(t, report.Adapters, []string{"a"})
	assert.Equal(t, report.MaxSequences, enginesim.DefaultMaxSequences)
	assert.Assert(t, report.Incarnation != "")
	_, restarted := startEngine(t, enginesim.Options{})
	second, err := restarted.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, second.Incarnation != report.Incarnation)
	events, err := client.CacheEvents(t.Context(), 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, len(events.Events) > 0 && events.Events[0].Stored)
	assert.Equal(t, events.Incarnation, report.Incarnation)
	assert.Equal(t, events.Newest, events.Events[len(events.Events)-1].Sequence)
	assert.Assert(t, events.Complete())
	half, err := client.CacheEvents(t.Context(), 0, 1)
	assert.NilError(t, err)
	assert.Assert(t, half.Complete() && half.Held == events.Held && len(half.Events) < len(events.Events))
	listed, err := client.CacheBlocks(t.Context(), 1)
	assert.NilError(t, err)
	assert.Equal(t, listed.Sequence, events.Newest)
	assert.Equal(t, listed.Incarnation, report.Incarnation)
	var sampled []uint64
	for _, event := range events.Events {
		if event.Block%2 == 0 {
			sampled = append(sampled, event.Block)
		}
	}
	slices.Sort(sampled)
	slices.Sort(listed.Blocks)
	assert.DeepEqual(t, listed.Blocks, sampled)
	_, err = client.CacheBlocks(t.Context(), 99)
	assert.ErrorIs(t, err, engine.ErrRejected)
}

func TestBusyEngineDoesNotRun(t *testing.T) {
	endless := enginesim.CostModel{Base: time.Hour}
	running, client := startEngine(t, enginesim.Options{MaxSequences: 1, MaxWaiting: 1, Cost: endless})
	send := func(request ident.Request) error {
		call := newCall(longBody)
		call.Request.ID = request
		_, err := client.Generate(t.Context(), call)
		return err
	}
	assert.NilError(t, send("runs"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running.Runs(1)["runs"].Runs == 1 {
			return poll.Success()
		}
		return poll.Continue("not started")
	})
	assert.NilError(t, send("waits"))
	assertAttempt(t, send("refused"), outcome.NotRun, engine.ErrBusy)
	assert.Equal(t, len(running.Runs(1)), 1)
}
