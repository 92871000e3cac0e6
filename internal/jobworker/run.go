package jobworker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/eventstream"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Outcomes of a run after which the item is tried again.
const (
	errRefused = failure.Kind("job worker: runner refused the item")
	// errOtherWeights means that the runner's weights are of another version than the item asks for.
	errOtherWeights = failure.Kind("job worker: runner has other weights")
	errBroken       = failure.Kind("job worker: run interrupted")
	// errSilent means that the runner sent no event in time.
	errSilent     = failure.Kind("job worker: runner sent no event in time")
	errUnexpected = failure.Kind("job worker: unexpected response")
)

// Pauses before an item is tried again.
const (
	pauseAfterRefusal = 150 * time.Millisecond
	pauseAfterFailure = 300 * time.Millisecond
	pauseAfterBreak   = 20 * time.Millisecond
	// maxPauseSteps bounds how often the pause doubles after output that was too large.
	maxPauseSteps = 5
)

// maxRunTime bounds the time given to a runner for one item.
const maxRunTime = 2 * time.Minute

// meanSmoothing is the weight of a new run in the moving averages.
const meanSmoothing = 0.1

// run makes one run of an item and records its outcome.
func (w *Worker) run(ctx context.Context, item *itemRun, route *work.Route, flight *runnertable.Flight) {
	defer w.endFlight(flight)
	resumed := item.lastEvent
	w.assignRunID(item)
	request := w.request(item)
	status, err := w.stream(ctx, item, request, flight)
	if err == nil && status == http.StatusOK {
		err = w.checkOutput(item)
	}
	w.recordRunEnd(ctx, flight, request, item.lastEvent > resumed, status, err)
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	item.running = false
	item.job.running--
	w.recordTrial(ctx, item, status, err)
	if item.job.dropped {
		return
	}
	switch {
	case err == nil && status == http.StatusOK:
		w.updateMeans(item, now.Sub(item.started), resumed)
		item.job.finish(item, work.Completed)
	case err == nil && status == http.StatusUnprocessableEntity:
		w.giveUp(item, "no runner can do it")
	case err == nil && status == http.StatusInternalServerError:
		item.failures++
		item.avoid[flight.Runner.ID] = true
		flight.Failed(runnertable.ErrorResponse, now)
		item.notBefore = now.Add(pauseAfterFailure)
		if item.failures >= max(route.MaximumAttempts, 1) {
			w.giveUp(item, "maximum number of attempts reached")
		}
	case errors.Is(err, connpool.ErrMalformed):
		w.giveUp(item, "it is no HTTP request")
	case errors.Is(err, streamorigin.ErrUnknown):
		item.beginAnew()
	case errors.Is(err, jobrecord.ErrTooLarge):
		// It could never be recorded, nor could the results after it.
		w.logBroken(item, request, flight, status, err)
		item.beginAnew()
		item.avoid[flight.Runner.ID] = true
		item.notBefore = now.Add(pauseAfterFailure << min(item.overlong, maxPauseSteps))
		item.overlong++
	case errors.Is(err, errOtherWeights):
		item.avoid[flight.Runner.ID] = true
		item.notBefore = now.Add(pauseAfterFailure)
	case errors.Is(err, errRefused):
		item.notBefore = now.Add(pauseAfterRefusal)
	case ctx.Err() != nil:
		item.notBefore = now.Add(pauseAfterBreak)
		if item.stalled && item.lastEvent == resumed {
			// The runner would be chosen again, as the one with the most free slots.
			item.avoid[flight.Runner.ID] = true
			w.logBroken(item, request, flight, status, fmt.Errorf("%w: %w", errSilent, err))
		}
	default:
		item.notBefore = now.Add(pauseAfterFailure)
		flight.Failed(failureOf(err), now)
		w.logBroken(item, request, flight, status, err)
	}
}

// logBroken logs a run that ended without the whole output.
func (w *Worker) logBroken(item *itemRun, request *work.Request, flight *runnertable.Flight, status int, err error) {
	event.ItemRunBroken.Log(w.Logger).Str("job", string(item.job.header.ID)).Str("item", string(item.item.ID)).
		Str("print", string(w.Key.Of(request))).Interface("parts", w.Key.OfParts(request.Prefix)).Str("runner", string(flight.Runner.ID)).
		Str("version", string(flight.Runner.Version)).Int64("last_event", item.lastEvent).Int("status", status).Err(err).Send()
}

// checkOutput returns an error that wraps jobrecord.ErrTooLarge if the whole output of an item is too large to be recorded.
func (w *Worker) checkOutput(item *itemRun) error {
	w.mutex.Lock()
	result := item.result(work.Completed)
	w.mutex.Unlock()
	return w.Records.CheckResult(item.job.header, result)
}

// endFlight releases the slot of a run that has ended.
func (w *Worker) endFlight(flight *runnertable.Flight) {
	flight.End()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.recordAccounted(flight.Runner.ID, w.Now())
}

// assignRunID assigns an id to a run that is about to start. Runs of other workers, and those before a restart, have other
// claims in their ids.
func (w *Worker) assignRunID(item *itemRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs++
	item.currentRun = progress.RunID{Claim: item.job.log.Holding().Claim.Revision, Number: w.runs}
}

func failureOf(err error) runnertable.Failure {
	if errors.Is(err, connpool.ErrNotSent) {
		return runnertable.Unreachable
	}
	return runnertable.NoAnswer
}

// updateMeans updates the moving averages of complete runs. The caller must hold the mutex.
func (w *Worker) updateMeans(item *itemRun, took time.Duration, resumed int64) {
	events, tokens := float64(item.lastEvent), float64(item.item.Tokens)
	if w.events == 0 {
		w.events, w.tokens = events, tokens
	}
	w.events += meanSmoothing * (events - w.events)
	w.tokens += meanSmoothing * (tokens - w.tokens)
	if resumed == 0 {
		w.duration += time.Duration(meanSmoothing * float64(took-w.duration))
	}
}

// giveUp finishes an item without its output. The caller must hold the mutex.
func (w *Worker) giveUp(item *itemRun, why string) {
	if item.finished {
		return
	}
	event.ItemGivenUp.Log(w.Logger).Str("job", string(item.job.header.ID)).Str("item", string(item.item.ID)).
		Int("failures", item.failures).Str("why", why).Send()
	item.job.finish(item, work.DeadLetter)
}

// stream sends the item to the runner and reads its events. It returns the status of an answer that was read completely.
func (w *Worker) stream(ctx context.Context, item *itemRun, request *work.Request, flight *runnertable.Flight) (int, error) {
	if err := w.confirm(ctx, item, flight); err != nil {
		return 0, err
	}
	reply, err := w.Caller.Send(ctx, work.Attempt{
		Request: request, Runner: flight.Runner, Budget: maxRunTime, ResumeAfter: item.lastEvent,
		BeforeSend: func() error { return w.beforeSend(item, flight) },
	})
	if errors.Is(err, runnertable.ErrWithdrawn) {
		return 0, fmt.Errorf("%w: %w", errRefused, err)
	}
	if err != nil {
		return 0, err
	}
	defer func() { _ = reply.Body.Close() }()
	now := w.Now()
	flight.HeadReceived(reply.Head.Load, now)
	switch {
	case reply.Replaced:
		flight.Failed(runnertable.Replaced, now)
		w.Caller.Forget(flight.Runner)
		return 0, fmt.Errorf("%w: runner was replaced", errRefused)
	case reply.OtherWeights:
		return 0, errOtherWeights
	case reply.NotRun:
		flight.Failed(runnertable.Refused, now)
		return 0, errRefused
	case reply.Head.Status != http.StatusOK:
		_, err := io.CopyN(io.Discard, reply.Body, maxFailureBytes)
		return statusOf(reply, err)
	case !reply.Sealed || reply.Encoded:
		return 0, fmt.Errorf("%w: success response is unsigned or content-encoded", errUnexpected)
	}
	// The runner may have been started again, as another version, between its confirmation and the request.
	if err := w.confirmRunner(ctx, item, flight); err != nil {
		return 0, err
	}
	return http.StatusOK, w.readEvents(item, flight, reply)
}

// beforeSend is called when an item is about to be sent to a runner that was chosen before. Its error means that another one is to be chosen.
func (w *Worker) beforeSend(item *itemRun, flight *runnertable.Flight) error {
	sending := flight.BeforeSend(w.Now())
	if sending.Waited > runnertable.LongHold {
		event.RequestHeldLong.Log(w.Logger).Str("job", string(item.job.header.ID)).Str("item", string(item.item.ID)).
			Str("runner", string(flight.Runner.ID)).EmbedObject(sending).Send()
	}
	return sending.Check()
}

// confirm makes sure that the version that began an item's output is known, and that a runner that is to go on with it is the incarnation that
// the registry lists. Its error wraps errRefused, and streamorigin.ErrUnknown if the output cannot be continued.
func (w *Worker) confirm(ctx context.Context, item *itemRun, flight *runnertable.Flight) error {
	if item.lastEvent == 0 {
		return nil
	}
	moment := streamorigin.Moment{Date: w.Records.Now(), Now: w.Now()}
	if err := streamorigin.Verify(ctx, w.Caller, w.Runners, item.origin, moment); err != nil {
		return fmt.Errorf("%w: %w", errRefused, err)
	}
	return w.confirmRunner(ctx, item, flight)
}

// confirmRunner makes sure that the runner of an item that goes on is the incarnation that the registry lists. After its answer has begun, this
// proves that the answer is of that incarnation too. Its error wraps errRefused.
func (w *Worker) confirmRunner(ctx context.Context, item *itemRun, flight *runnertable.Flight) error {
	if item.lastEvent == 0 {
		return nil
	}
	err := streamorigin.Confirm(ctx, w.Caller, flight.Runner)
	if err == nil {
		return nil
	}
	if streamorigin.IsReplaced(err) {
		flight.Failed(runnertable.Replaced, w.Now())
		w.Caller.Forget(flight.Runner)
	}
	return fmt.Errorf("%w: %w", errRefused, err)
}

// maxFailureBytes bounds what is read of a failure's body, which nobody wants. A longer one counts by its status all the same.
const maxFailureBytes = 64 << 10

// statusOf returns the status of a failure that comes from the runner itself, given the error that ended the reading of its body.
func statusOf(reply *work.Reply, err error) (int, error) {
	if err != nil && err != io.EOF {
		return reply.Head.Status, fmt.Errorf("%w: %w", errBroken, err)
	}
	switch reply.Head.Status {
	case http.StatusInternalServerError, http.StatusUnprocessableEntity:
		return reply.Head.Status, nil
	}
	return reply.Head.Status, fmt.Errorf("%w: status %d", errUnexpected, reply.Head.Status)
}

func (w *Worker) request(item *itemRun) *work.Request {
	headers := make(http.Header, len(item.item.Headers)+4)
	for name, value := range item.item.Headers {
		headers.Set(name, value)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	request := w.requestOf(item)
	request.Headers = headers
	return request
}

// requestOf returns the request for an item, without headers. The caller must hold the mutex.
func (w *Worker) requestOf(item *itemRun) *work.Request {
	return &work.Request{
		Prefix: w.promptOf(item),
		ID:     item.item.ID, Method: http.MethodPost, Path: item.item.Path, Host: item.job.header.Host, Body: item.body,
	}
}

// promptOf returns the parts of an item's prompt.
func (w *Worker) promptOf(item *itemRun) []work.Part {
	if w.PromptOf == nil {
		return nil
	}
	return w.PromptOf(item.item.Headers)
}

// readEvents reads the events of a run. The output is complete if the framing proves its end, or if the connection of an answer without
// framing ends between two events.
func (w *Worker) readEvents(item *itemRun, flight *runnertable.Flight, reply *work.Reply) error {
	reader := eventstream.NewReader(reply.Body)
	for first := true; ; first = false {
		next, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if !reply.Framed && first {
				return fmt.Errorf("%w: connection ended without an event", errBroken)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if !next.HasID {
			continue
		}
		now := w.Now()
		if first {
			w.PoisonWatch.RecordBegan(flight.Runner, w.Key.OfParts(w.promptOf(item)))
		}
		flight.EventReceived(now)
		if err := w.appendEvent(item, flight.Runner, next, now); err != nil {
			return err
		}
	}
}

// appendEvent appends one event of a runner, which must directly follow the last one.
func (w *Worker) appendEvent(item *itemRun, runner work.Runner, next eventstream.Event, now time.Time) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if next.ID != item.lastEvent+1 {
		return fmt.Errorf("%w: event %d after %d", errBroken, next.ID, item.lastEvent)
	}
	if item.job.dropped || item.finished {
		return fmt.Errorf("%w: this node no longer runs the item", errBroken)
	}
	if size := item.text.Len() + len(next.Data); size > w.Records.ValueBytes {
		return fmt.Errorf("%w: output of %d bytes and more, at most %d are kept", jobrecord.ErrTooLarge, size, w.Records.ValueBytes)
	}
	if item.lastEvent > 0 {
		item.text.WriteByte('\n')
	} else {
		item.origin = work.OriginOf(runner, w.Records.Now())
	}
	item.text.Write(next.Data)
	item.lastEvent, item.lastEventRun = next.ID, item.currentRun
	item.progressed = now
	item.job.progressed = now
	return nil
}
