package confsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Bounds of a change. The service takes at most 128 writes in a transaction; two go to the head and the change record,
// one to the trim of the oldest change record.
const (
	// MaxMutations is the most resources that one change may write.
	MaxMutations = 120
	// MaxChangeBytes bounds the values of one change together, old and new.
	MaxChangeBytes = 512 << 10
	// MaxHistory is how many change records are kept: eight days at 520 changes a day.
	MaxHistory = 4096
)

// DefaultApplyTimeout bounds Apply where the caller's context does not.
const DefaultApplyTimeout = 5 * time.Second

// Bounds of the wait between two attempts of Apply. Each wait is drawn evenly between half its bound and the bound.
const (
	minApplyDelay = 50 * time.Millisecond
	maxApplyDelay = 1 * time.Second
	// heldTimeout bounds the wait for a second node to hold an accepted change.
	heldTimeout = 500 * time.Millisecond
	// retryAfterOutage is what operators are told while the service is away.
	retryAfterOutage = 10 * time.Second
)

// LocalCopy is the copy of the node a Writer runs on. Replica implements it.
type LocalCopy interface {
	// State returns the newest state the copy holds.
	State() *State
	// Learn applies accepted changes that follow the copy's state and ignores others.
	Learn(changes []Change)
	// Install replaces the copy by a newer state and ignores an older one.
	Install(state *State)
	// Recent finds a change by its identifier among the last few hundred.
	Recent(id string) (Change, bool)
}

// heldWaiter is a copy that hears what other nodes hold. Replica implements it.
type heldWaiter interface {
	// AwaitHeld waits until another node is known to hold the revision, and reports whether one is.
	AwaitHeld(ctx context.Context, revision int64) bool
}

// Mutation writes or deletes one resource.
type Mutation struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Proposal is a change to be accepted.
type Proposal struct {
	// ID identifies the proposal; a resend with the same ID is answered with the change that was accepted, as long as
	// it is among the last few hundred. Empty means a new one.
	ID        string
	Author    string
	Comment   string
	Mutations []Mutation
	// Expected holds the revision each resource must have; zero means that it must not exist. Resources not named are
	// not checked.
	Expected map[Key]int64
	// Check is called with the exact state the change would be committed on, and the state after it; its error ends
	// the proposal and is returned as it is. It may be called more than once, and may be nil.
	Check func(base, proposed *State) error
}

// Writer accepts changes by compare-and-swap. It is safe for concurrent use.
type Writer struct {
	remote  remote
	store   kv.Store
	local   LocalCopy
	now     func() time.Time
	sleep   func(ctx context.Context, duration time.Duration) error
	jitter  func(bound time.Duration) time.Duration
	timeout time.Duration
}

// WriterOption changes a Writer that is being made.
type WriterOption func(*Writer)

// WithApplyTimeout bounds Apply; DefaultApplyTimeout if not given.
func WithApplyTimeout(timeout time.Duration) WriterOption {
	return func(w *Writer) { w.timeout = timeout }
}

// WithClock sets the clock, the wait between attempts and how it is drawn below a bound, for simulations.
func WithClock(
	now func() time.Time,
	sleep func(context.Context, time.Duration) error,
	jitter func(bound time.Duration) time.Duration,
) WriterOption {
	return func(w *Writer) {
		w.now = now
		w.sleep = sleep
		w.jitter = jitter
	}
}

// NewWriter returns a Writer on the node that holds the copy.
func NewWriter(store kv.Store, local LocalCopy, options ...WriterOption) *Writer {
	writer := &Writer{
		remote:  remote{store: store},
		store:   store,
		local:   local,
		now:     time.Now,
		sleep:   sleepContext,
		jitter:  upperHalf,
		timeout: DefaultApplyTimeout,
	}
	for _, option := range options {
		option(writer)
	}
	return writer
}

// Apply accepts a proposal or says why not. A nil error means that the change is accepted and will never be taken back.
// Otherwise the error is that of Check, or a *failure.Error:
//   - CodeInvalidRequest: the proposal can never be accepted.
//   - CodeConflict: an expected revision does not hold. Definitely not accepted.
//   - CodeConfigUnavailable: the service is away or refuses. Definitely not accepted.
//   - CodeConfigUnknown, with an unknown outcome: the change may have been accepted. Resend it with the same ID.
func (w *Writer) Apply(ctx context.Context, proposal Proposal) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	if err := validate(proposal); err != nil {
		return Change{}, err
	}
	if proposal.ID == "" {
		proposal.ID = ulid.Make().String()
	}
	attempt := &application{writer: w, proposal: proposal}
	return attempt.run(ctx)
}

// DryRun answers as Apply would, from the newest state the service has, and changes nothing.
func (w *Writer) DryRun(ctx context.Context, proposal Proposal) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	if err := validate(proposal); err != nil {
		return Change{}, err
	}
	_, base, err := w.newest(ctx)
	if err != nil {
		return Change{}, unavailable(err)
	}
	return prepare(base, proposal, w.now())
}

// validate refuses proposals that no state could accept.
func validate(proposal Proposal) error {
	if len(proposal.Mutations) == 0 {
		return failure.New(failure.CodeInvalidRequest, "a change must write at least one resource")
	}
	if len(proposal.Mutations) > MaxMutations {
		return failure.New(failure.CodeInvalidRequest, "a change may write at most %d resources", MaxMutations)
	}
	seen := make(map[Key]bool, len(proposal.Mutations))
	for _, mutation := range proposal.Mutations {
		if mutation.Key.Kind == "" || mutation.Key.Name == "" {
			return failure.New(failure.CodeInvalidRequest, "every resource needs a kind and a name")
		}
		if seen[mutation.Key] {
			return failure.New(failure.CodeInvalidRequest, "%s %q is written twice", mutation.Key.Kind, mutation.Key.Name)
		}
		seen[mutation.Key] = true
	}
	return nil
}

// application is one run of Apply.
type application struct {
	writer   *Writer
	proposal Proposal
	// pending is the revision that a commit with an unknown outcome would have, or zero. While it is set, the proposal
	// may be refused only after the head is seen to have moved on without it.
	pending int64
}

func (a *application) run(ctx context.Context) (Change, error) {
	bound := minApplyDelay
	for {
		change, done, err := a.attempt(ctx)
		if done {
			return change, err
		}
		delay := a.writer.jitter(bound)
		bound = min(2*bound, maxApplyDelay)
		if a.writer.sleep(ctx, delay) != nil {
			return Change{}, a.giveUp(err)
		}
	}
}

// giveUp is the answer when time runs out: honest about a commit whose outcome was never learned.
func (a *application) giveUp(cause error) error {
	if a.pending == 0 {
		return unavailable(cause)
	}
	return failure.New(failure.CodeConfigUnknown,
		"the configuration service did not say whether change %s was accepted; resend it with the same id", a.proposal.ID).
		WithOutcome(outcome.Unknown).
		WithRetryAfter(retryAfterOutage).
		WithCause(cause)
}

// attempt reads the newest state, resolves an earlier commit whose answer was lost, and tries to commit on that state.
func (a *application) attempt(ctx context.Context) (change Change, done bool, err error) {
	newest, base, err := a.writer.newest(ctx)
	if err != nil {
		return Change{}, false, err
	}
	accepted, resolved, err := a.resolve(ctx, newest)
	if err != nil || resolved {
		return accepted, resolved, err
	}
	change, err = prepare(base, a.proposal, a.writer.now())
	if err != nil && a.pending != 0 {
		// An earlier commit on this same head may still arrive, so a refusal now would not be definite.
		return Change{}, true, a.giveUp(err)
	}
	if err != nil {
		return Change{}, true, err
	}
	return a.commit(ctx, newest, change)
}

// resolve reports whether the proposal has already been accepted. If the head has not reached the pending revision, the
// earlier commit may still arrive; committing again at the same head is safe, since at most one of the two can find
// the head unmoved.
func (a *application) resolve(ctx context.Context, newest head) (Change, bool, error) {
	if change, found := a.writer.local.Recent(a.proposal.ID); found {
		return change, true, nil
	}
	if a.pending == 0 || newest.revision < a.pending {
		return Change{}, false, nil
	}
	at, err := a.writer.remote.change(ctx, a.pending)
	if err != nil {
		return Change{}, false, err
	}
	if at.ID == a.proposal.ID {
		return at.withoutPrevious(), true, nil
	}
	// Another change took the revision: the earlier commit compares a head that is gone and can never be applied.
	a.pending = 0
	return Change{}, false, nil
}

func (a *application) commit(ctx context.Context, newest head, change Change) (Change, bool, error) {
	compares := []kv.Compare{{Key: headKey, ModRevision: newest.modRevision}}
	result, err := a.writer.store.Commit(ctx, compares, writesOf(change))
	if err != nil && !definitelyNotApplied(err) {
		a.pending = change.Revision
	}
	if err != nil {
		return Change{}, false, fmt.Errorf("commit change %d: %w", change.Revision, err)
	}
	if !result.Succeeded {
		return Change{}, false, fmt.Errorf("commit change %d: head moved: %w", change.Revision, kv.ErrUnavailable)
	}
	accepted := change.withoutPrevious()
	a.writer.local.Learn([]Change{accepted})
	a.writer.awaitHeld(ctx, accepted.Revision)
	return accepted, true, nil
}

// awaitHeld holds the answer back until a second node has the change, for a short while. The change is accepted either
// way; but should this node and the service fail together right after the answer, it still spreads from the second node.
func (w *Writer) awaitHeld(ctx context.Context, revision int64) {
	waiter, able := w.local.(heldWaiter)
	if !able {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	waiter.AwaitHeld(ctx, revision)
}

// definitelyNotApplied reports whether a failed commit is known to have had no effect.
func definitelyNotApplied(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrRateLimited)
}

// newest returns the head and the state at exactly its revision.
func (w *Writer) newest(ctx context.Context) (head, *State, error) {
	newest, err := w.remote.head(ctx)
	if err != nil {
		return head{}, nil, err
	}
	if err := w.remote.catchUp(ctx, w.local, newest.revision); err != nil {
		return head{}, nil, err
	}
	state := w.local.State()
	if state.Revision == newest.revision && state.Chain == newest.chain {
		return newest, state, nil
	}
	return head{}, nil, fmt.Errorf("head at revision %d, copy at %d: %w", newest.revision, state.Revision, errHeadBehind)
}

// errHeadBehind means that the copy is ahead of the head that was read: the copy has just learned a newer change, or,
// if it stays so, the service has lost changes that it had accepted.
const errHeadBehind = failure.Kind("confsync: the service's head is behind this node's copy")

// prepare makes the change that would follow base.
func prepare(base *State, proposal Proposal, now time.Time) (Change, error) {
	if err := checkExpected(base, proposal.Expected); err != nil {
		return Change{}, err
	}
	change := Change{
		Revision: base.Revision + 1,
		ID:       proposal.ID,
		Author:   proposal.Author,
		Comment:  proposal.Comment,
		At:       now.UTC().Truncate(time.Millisecond),
		Chain:    nextChain(base.Chain, proposal.ID),
	}
	size := 0
	for _, mutation := range proposal.Mutations {
		changed := changedResource(base, mutation, change.Revision)
		if changed.Previous != nil {
			size += len(changed.Previous.Value)
		}
		size += len(changed.Resource.Value)
		change.Resources = append(change.Resources, changed)
	}
	if size > MaxChangeBytes {
		return Change{}, failure.New(failure.CodeBodyTooLarge, "the change has %d bytes; the limit is %d", size, MaxChangeBytes)
	}
	if proposal.Check != nil {
		if err := proposal.Check(base, base.with(change)); err != nil {
			return Change{}, err
		}
	}
	return change, nil
}

func changedResource(base *State, mutation Mutation, revision int64) ChangedResource {
	changed := ChangedResource{Resource: Resource{
		Kind:     mutation.Key.Kind,
		Name:     mutation.Key.Name,
		Revision: revision,
		Value:    mutation.Value,
		Deleted:  mutation.Delete,
	}}
	if previous, exists := base.Get(mutation.Key); exists {
		changed.Previous = &previous
	}
	return changed
}

func checkExpected(base *State, expected map[Key]int64) error {
	for key, revision := range expected {
		current, _ := base.Get(key)
		if current.Revision != revision {
			return failure.New(failure.CodeConflict, "%s %q is at revision %d, not %d: read it again and repeat the change",
				key.Kind, key.Name, current.Revision, revision).WithParam(string(key.Kind) + "/" + key.Name)
		}
	}
	return nil
}

// nextChain extends the digest over the identifiers of all changes.
func nextChain(chain uint64, id string) uint64 {
	digest := xxhash.NewWithSeed(chain)
	// A hash's writes cannot fail.
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// writesOf returns the writes of one transaction: all of the change takes effect, or none of it.
func writesOf(change Change) []kv.Write {
	newest := &confsyncpb.Head{Revision: change.Revision, ChangeId: change.ID, Chain: change.Chain}
	writes := []kv.Write{
		{Key: headKey, Value: encode(newest)},
		{Key: changeKey(change.Revision), Value: encode(changeToWire(change))},
	}
	if oldest := change.Revision - MaxHistory; oldest > 0 {
		writes = append(writes, kv.Write{Key: changeKey(oldest), Delete: true})
	}
	for _, changed := range change.Resources {
		write := kv.Write{Key: resourceKey(changed.Resource.Key()), Delete: changed.Resource.Deleted}
		if !write.Delete {
			write.Value = encode(resourceToWire(changed.Resource))
		}
		writes = append(writes, write)
	}
	return writes
}

func unavailable(cause error) error {
	return failure.New(failure.CodeConfigUnavailable, "the configuration service is not available; the change was not accepted").
		WithRetryAfter(retryAfterOutage).
		WithCause(cause)
}

// upperHalf draws a wait between half the bound and the bound, so that callers that failed together part.
func upperHalf(bound time.Duration) time.Duration { return bound/2 + rand.N(bound/2) }

func sleepContext(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
