package enginesim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/prefixcache"
)

// ErrListen means a listener could not be opened.
const ErrListen = failure.Kind("engine stand-in: cannot listen")

const (
	// keepWindow is how long the tokens of an aborted request are held for a later continuation.
	keepWindow = 5 * time.Minute
	// housekeeping is the time between sweeps and load samples.
	housekeeping = 20 * time.Millisecond
	// readHeaderTimeout bounds the wait for a request's headers.
	readHeaderTimeout = 10 * time.Second
)

// Engine is one stand-in engine. New makes it, Start serves it.
type Engine struct {
	options Options
	faults  *faultSwitch
	runs    *runLedger
	wake    chan struct{}
	tomb    tomb.Tomb
	// incarnation differs between any two starts.
	incarnation string

	server, faultServer     *http.Server
	address, faultAddress   string
	listener, faultListener net.Listener

	mu        sync.Mutex
	random    *rand.Rand
	scheduler scheduler
	cache     *prefixcache.Cache
	sequences map[ident.Request][]*sequence
	orders    orderBook
	events    eventLog
	samples   []loadSample
	stepTime  time.Duration
}

// New returns an engine that does not serve yet.
func New(options Options) *Engine {
	options = options.withDefaults()
	created := &Engine{
		options: options,
		faults:  newFaultSwitch(options.Seed),
		runs:    newRunLedger(),
		wake:    make(chan struct{}, 1),

		incarnation: ulid.Make().String(),
		random:      rand.New(rand.NewPCG(options.Seed, uint64(time.Now().UnixNano()))),
		sequences:   map[ident.Request][]*sequence{},
		orders:      newOrderBook(options),
	}
	created.cache = prefixcache.New(options.BlockTokens, created.cacheChanged)
	created.scheduler = scheduler{options: options, cache: created.cache, started: created.recordStart}
	return created
}

// Start opens the listeners and returns the engine's address as "IP:port".
func (e *Engine) Start() (string, error) {
	listener, err := net.Listen("tcp", e.options.Listen)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrListen, err)
	}
	faultListener, err := net.Listen("tcp", e.options.FaultListen)
	if err != nil {
		_ = listener.Close()
		return "", fmt.Errorf("%w: %w", ErrListen, err)
	}
	e.listener, e.faultListener = listener, faultListener
	e.address, e.faultAddress = listener.Addr().String(), faultListener.Addr().String()
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: readHeaderTimeout}
	e.faultServer = &http.Server{Handler: e.faultHandler(), ReadHeaderTimeout: readHeaderTimeout}
	e.tomb.Go(e.supervise)
	return e.address, nil
}

func (e *Engine) supervise() error {
	e.tomb.Go(e.stepLoop)
	e.tomb.Go(e.housekeepingLoop)
	e.tomb.Go(func() error { return ignoreClosed(e.server.Serve(e.listener)) })
	e.tomb.Go(func() error { return ignoreClosed(e.faultServer.Serve(e.faultListener)) })
	<-e.tomb.Dying()
	_ = e.server.Close()
	_ = e.faultServer.Close()
	return nil
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrListen, err)
}

// Stop closes every connection at once and ends the engine, as a crash would.
func (e *Engine) Stop() error {
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

// Dead is closed when the engine has stopped.
func (e *Engine) Dead() <-chan struct{} { return e.tomb.Dead() }

// Address returns the address of the engine's API; FaultAddress that of its fault port.
func (e *Engine) Address() string { return e.address }

// FaultAddress returns the address of the fault and inspection port.
func (e *Engine) FaultAddress() string { return e.faultAddress }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }

// Runs returns the requests executed at least minimum times, by request.
func (e *Engine) Runs(minimum int) map[string]Run { return e.runs.all(minimum) }

// recordStart is called by the scheduler, under the lock, whenever a sequence is admitted.
func (e *Engine) recordStart(started *sequence) {
	if started.counted {
		return
	}
	started.counted = true
	e.runs.record(started)
}

// stepLoop runs the engine's steps, each as long as the cost model says.
func (e *Engine) stepLoop() error {
	next := time.Now()
	for {
		if !e.waitUntilThawed() {
			return nil
		}
		planned, busy := e.planStep()
		if !busy {
			if !e.waitForWork() {
				return nil
			}
			next = time.Now()
			continue
		}
		duration := e.scaled(e.options.Cost.StepTime(planned.decoding, planned.prefillTokens))
		next = later(next.Add(duration), time.Now())
		if !e.sleepUntil(next) {
			return nil
		}
		e.finishStep(duration)
	}
}

func (e *Engine) scaled(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / e.options.TimeScale)
}

func later(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}

func (e *Engine) waitUntilThawed() bool {
	select {
	case <-e.faults.gate():
		return true
	case <-e.tomb.Dying():
		return false
	}
}

func (e *Engine) waitForWork() bool {
	select {
	case <-e.wake:
		return true
	case <-e.tomb.Dying():
		return false
	}
}

func (e *Engine) sleepUntil(moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.tomb.Dying():
		return false
	}
}

func (e *Engine) planStep() (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	planned := e.scheduler.plan()
	return planned, len(e.scheduler.running) > 0
}

func (e *Engine) finishStep(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepTime = duration
	e.scheduler.counters.Steps++
	e.scheduler.counters.BusyTime += time.Duration(float64(duration) * e.options.TimeScale)
	running := append([]*sequence(nil), e.scheduler.running...)
	now := time.Now()
	for _, finished := range e.scheduler.apply() {
		finished.idleSince = now
	}
	for _, sequence := range running {
		sequence.notify()
	}
}

func (e *Engine) housekeepingLoop() error {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.mu.Lock()
			e.sample(now)
			e.sweep(now)
			e.mu.Unlock()
		case <-e.tomb.Dying():
			return nil
		}
	}
}

// sweep aborts sequences that have had no reader for the resume window and forgets the ended ones. The lock is held.
func (e *Engine) sweep(now time.Time) {
	for request, sequences := range e.sequences {
		held := sequences[:0]
		for _, sequence := range sequences {
			if !e.expired(sequence, now) {
				held = append(held, sequence)
				continue
			}
			e.scheduler.remove(sequence)
			sequence.state = stateAborted
		}
		e.sequences[request] = held
		if len(held) == 0 {
			delete(e.sequences, request)
		}
	}
}

func (e *Engine) expired(sequence *sequence, now time.Time) bool {
	if len(sequence.readers) > 0 {
		return false
	}
	window := e.options.ResumeWindow
	if sequence.state == stateKept {
		window = keepWindow
	}
	return now.Sub(sequence.idleSince) > window
}

// refusal is a request the engine did not and will not run.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter int
}

// submission is a parsed generation call.
type submission struct {
	request      ident.Request
	attempt      int
	class        inference.Class
	endpoint     inference.Endpoint
	idempotency  string
	adapter      string
	ownerEpoch   uint64
	resumeOffset int
	prompt       Prompt
}

// accept queues a submission with one reader attached, or says why not.
func (e *Engine) accept(submitted submission) (*sequence, chan struct{}, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.scheduler.counters.Calls++
	e.scheduler.counters.LastCall = now
	if refused := e.refuse(submitted); refused != nil {
		return nil, nil, refused
	}
	accepted := e.keptSequence(submitted)
	if accepted == nil && submitted.resumeOffset > 0 {
		return nil, nil, &refusal{http.StatusGone, dialect.CodeGone, "the kept request is gone", 0}
	}
	if accepted == nil {
		accepted = e.newSequence(submitted)
	}
	e.scheduler.counters.LastTaken = now
	e.scheduler.enqueue(accepted)
	reader := e.attach(accepted)
	e.wakeUp()
	return accepted, reader, nil
}

func (e *Engine) refuse(submitted submission) *refusal {
	if refused := e.orders.refuse(submitted); refused != nil {
		return refused
	}
	if submitted.prompt.Tokens+submitted.prompt.AnswerTokens > e.options.MemoryTokens {
		return &refusal{http.StatusBadRequest, dialect.CodeRejected, "the request exceeds the KV memory", 0}
	}
	if e.scheduler.full(submitted.class) {
		return &refusal{http.StatusTooManyRequests, dialect.CodeBusy, "the waiting queue is full", 1}
	}
	return nil
}

func (e *Engine) keptSequence(submitted submission) *sequence {
	if submitted.resumeOffset == 0 {
		return nil
	}
	for _, sequence := range e.sequences[submitted.request] {
		if sequence.state == stateKept && sequence.generated >= submitted.resumeOffset {
			sequence.attempt = submitted.attempt
			return sequence
		}
	}
	return nil
}

func (e *Engine) newSequence(submitted submission) *sequence {
	if submitted.request == "" {
		submitted.request = ident.Request(fmt.Sprintf("direct-%x", e.random.Uint64()))
	}
	created := &sequence{
		request:     submitted.request,
		attempt:     submitted.attempt,
		class:       submitted.class,
		endpoint:    submitted.endpoint,
		idempotency: submitted.idempotency,
		prompt:      submitted.prompt,
		blocks:      submitted.prompt.Blocks(e.options.BlockTokens),
		created:     time.Now(),
		readers:     map[chan struct{}]struct{}{},
	}
	if submitted.prompt.Sampled {
		created.nonce = e.random.Uint64() | 1
	}
	e.sequences[submitted.request] = append(e.sequences[submitted.request], created)
	return created
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// attach adds a reader. The lock is held.
func (e *Engine) attach(sequence *sequence) chan struct{} {
	reader := make(chan struct{}, 1)
	sequence.readers[reader] = struct{}{}
	return reader
}

func (e *Engine) detach(sequence *sequence, reader chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(sequence.readers, reader)
	sequence.idleSince = time.Now()
}

// find returns the latest sequence of a request that a stream can be read from.
func (e *Engine) find(request ident.Request, offset int) (*sequence, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sequences := e.sequences[request]
	for index := len(sequences) - 1; index >= 0; index-- {
		sequence := sequences[index]
		if sequence.state <= stateFinished && offset <= sequence.generated {
			return sequence, e.attach(sequence)
		}
	}
	return nil, nil
}

// abort ends every execution of a request.
func (e *Engine) abort(request ident.Request, keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, sequence := range e.sequences[request] {
		if sequence.ended() {
			continue
		}
		e.end(sequence, keep)
	}
	e.wakeUp()
}

// end takes a sequence out of the engine. The lock is held.
func (e *Engine) end(sequence *sequence, keep bool) {
	e.scheduler.remove(sequence)
	sequence.state = stateAborted
	if keep {
		sequence.state = stateKept
	}
	sequence.idleSince = time.Now()
	sequence.notify()
}

// lose drops a sequence as if the engine had died under it.
func (e *Engine) lose(sequence *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(sequence, false)
}

// progress returns how many tokens a reader may have and the sequence's state.
func (e *Engine) progress(sequence *sequence) (int, sequenceState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sequence.generated, sequence.state
}

// waitThawed holds an answer back while the engine is frozen.
func (e *Engine) waitThawed(ctx context.Context) bool { return e.faults.waitThawed(ctx) }
