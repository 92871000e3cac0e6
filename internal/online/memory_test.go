package online_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// runnerMemory is the capacity of a runner of eight slots, in tokens.
	runnerMemory = 101_495
	// longPrompt and longOutput make up a request that takes a fifth of that.
	longPrompt, longOutput = 18_000, 2_000
	// takenByOthers leaves no capacity for one more such request.
	takenByOthers = 85_000
)

// memorySite is a front with runners whose memory other nodes use.
type memorySite struct {
	forwarder *online.Forwarder
	runners   []work.Runner
	// sent contains the runners that the request was sent to, at the times.
	sent []ident.Incarnation
	at   []time.Time
	// onFirstRun is called when the first run was sent, which breaks off after its first event.
	onFirstRun func(at ident.Incarnation)
}

func newMemorySite() *memorySite {
	s := &memorySite{}
	table := runnertable.New("z")
	for _, id := range []ident.Incarnation{"1", "2", "3", "4", "5", "6"} {
		s.runners = append(s.runners, work.Runner{ID: id, Service: "s", Version: "v1", Zone: "z", Slots: 8})
	}
	table.Replace(s.runners, time.Now(), true)
	s.forwarder = &online.Forwarder{Runners: table, Caller: s, Logger: zerolog.Nop(), Now: time.Now}
	for _, runner := range s.runners {
		s.reportTokens(runner.ID, 0)
	}
	return s
}

// reportTokens applies a report of a runner's owner on how many tokens other nodes use there.
func (s *memorySite) reportTokens(id ident.Incarnation, tokens int) {
	s.forwarder.Runners.UpdateShares([]demand.Share{{Runner: id, Tokens: tokens, TokenCapacity: runnerMemory}}, time.Now())
}

// Send implements work.Caller.
func (s *memorySite) Send(_ context.Context, attempt work.Attempt) (*work.Reply, error) {
	s.sent, s.at = append(s.sent, attempt.Runner.ID), append(s.at, time.Now())
	if attempt.ResumeAfter == 0 {
		s.onFirstRun(attempt.Runner.ID)
		return stream(firstEvent, false), nil
	}
	return stream(secondEvent, true), nil
}

// Report implements work.Caller.
func (s *memorySite) Report(context.Context, work.Runner) (work.Load, error) { return work.Load{}, nil }

// Forget implements work.Caller.
func (s *memorySite) Forget(work.Runner) {}

func (s *memorySite) serve(patience time.Duration) (*recorder, error) {
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: 2, Objective: time.Second, Pause: pauseAllowed,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	request := &work.Request{
		ID: "q", Arrived: time.Now(), Deadline: time.Now().Add(patience), PromptTokens: longPrompt, MaximumTokens: longOutput,
	}
	writer := &recorder{}
	return writer, s.forwarder.Serve(context.Background(), route, request, writer)
}

// TestResumedStreamGoesWhereThereIsMemory breaks a stream of 20,000 tokens off while other nodes use 85,000 of 101,495 tokens
// at all runners but one. The stream must be resumed on that one: any other would run out of memory and fail with all its
// requests. With twenty streams, a random choice passes with a probability of one in 5 to the power of 20.
func TestResumedStreamGoesWhereThereIsMemory(t *testing.T) {
	for range 20 {
		s, free := newMemorySite(), ident.Incarnation("")
		s.onFirstRun = func(at ident.Incarnation) {
			free = "1"
			if at == free {
				free = "2"
			}
			for _, runner := range s.runners {
				if runner.ID != free {
					s.reportTokens(runner.ID, takenByOthers)
				}
			}
		}
		writer, err := s.serve(time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.Equal(t, s.sent[1], free)
	}
}

// TestResumedStreamWaitsForTheMemoryOfARunner has other nodes use the memory of all runners for 200 ms. The stream must be
// resumed as soon as one has free memory, long before its caller gives up.
func TestResumedStreamWaitsForTheMemoryOfARunner(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const taken = 200 * time.Millisecond
		s := newMemorySite()
		s.onFirstRun = func(ident.Incarnation) {
			for _, runner := range s.runners {
				s.reportTokens(runner.ID, takenByOthers)
			}
			time.AfterFunc(taken, func() {
				for _, runner := range s.runners {
					s.reportTokens(runner.ID, takenByOthers/2)
				}
			})
		}
		writer, err := s.serve(time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		waited := s.at[1].Sub(s.at[0])
		assert.Assert(t, waited >= taken && waited < taken+pauseAllowed, "resumed after %v", waited)
	})
}

// TestResumedStreamDoesNotWaitBeyondItsTime never has a runner with free memory. The answer must be broken off when its caller
// stops waiting, and not sent to a runner that would run out of memory.
func TestResumedStreamDoesNotWaitBeyondItsTime(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		s := newMemorySite()
		over := make(chan struct{})
		s.onFirstRun = func(ident.Incarnation) {
			go func() {
				for {
					for _, runner := range s.runners {
						s.reportTokens(runner.ID, takenByOthers)
					}
					select {
					case <-over:
						return
					case <-time.After(100 * time.Millisecond):
					}
				}
			}()
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		_, err := s.serve(3 * time.Second)
		close(over)
		assert.ErrorIs(t, err, online.ErrBroken)
		assert.Equal(t, len(s.sent), 1)
		assert.Assert(t, time.Since(began) < 4*time.Second)
	})
}
