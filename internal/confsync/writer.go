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

// Limits of a change. The key-value service accepts at most 128 writes in a transaction: two are used for the head and the
// change record and one to trim the oldest change record.
const (
	// MaxMutations is the maximum number of resources that one change may write.
	MaxMutations = 120
	// MaxChangeBytes limits the total size of the old and new values of one change.
	MaxChangeBytes = 512 << 10
	// MaxHistory is the number of change records retained: nearly eight days at 520 changes a day.
	MaxHistory = 4096
)

// DefaultApplyTimeout limits each call of a Writer unless WithApplyTimeout is given or the caller's context ends earlier.
const DefaultApplyTimeout = 5 * time.Second

// Limits of the exponential backoff between attempts of Apply. Each delay is uniformly random between half the current bound
// and the bound.
const (
	minApplyBackoff = 50 * time.Millisecond
	maxApplyBackoff = 1 * time.Second
	// secondCopyTimeout limits the wait for a second node to have an accepted change.
	secondCopyTimeout = 500 * time.Millisecond
	// retryAfterOutage is the retry delay returned to operators while the key-value service is unavailable.
	retryAfterOutage = 10 * time.Second
)

// LocalCopy is the configuration copy of the node a Writer runs on. Replica implements it.
type LocalCopy interface {
	// State returns the copy's newest state.
	State() *State
	// Learn applies accepted changes that follow the copy's state and ignores others.
	Learn(changes []Change)
	// Install replaces the copy with a newer state and ignores an older one.
	Install(state *State)
	// Recent returns the change with the given identifier if it is among the retained changes, at most a few hundred.
	Recent(id string) (Change, bool)
}

// replicationWaiter is a copy that tracks the revisions of other nodes. Replica implements it.
type replicationWaiter interface {
	// AwaitHeld waits until another node is known to have the revision, and reports whether one has it.
	AwaitHeld(ctx context.Context, revision int64) bool
}

// Mutation writes or deletes one resource.
type Mutation struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Proposal is a change submitted for acceptance.
type Proposal struct {
	// ID identifies the proposal. A resend with the same ID returns the change that was accepted, as long as the local copy
	// retains it (at most the last few hundred changes). If empty, a new ID is generated.
	ID        string
	Author    string
	Comment   string
	Mutations []Mutation
	// Expected maps resources to the revision they must have; zero means that the resource must not exist. Other resources
	// are not checked.
	Expected map[Key]int64
	// Check is called with the exact state the change would be committed on and the state after it. Its error rejects the
	// proposal and is returned unchanged, unless an earlier commit has an unknown outcome. It may be called more than once
	// and may be nil.
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

// WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithApplyTimeout sets the time limit of each call of a Writer. The default is DefaultApplyTimeout.
func WithApplyTimeout(timeout time.Duration) WriterOption {
	return func(w *Writer) { w.timeout = timeout }
}

// WithClock sets the clock, the sleep between attempts and the jitter of the sleep's duration, for simulations.
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

// NewWriter returns a Writer for the node with the given local copy.
func NewWriter(store kv.Store, local LocalCopy, options ...WriterOption) *Writer {
	writer := &Writer{
		remote:  remote{store: store},
		store:   store,
		local:   local,
		now:     time.Now,
		sleep:   sleepContext,
		jitter:  jitterUpperHalf,
		timeout: DefaultApplyTimeout,
	}
	for _, option := range options {
		option(writer)
	}
	return writer
}

// Apply accepts a proposal or returns why it did not. A nil error means that the change is accepted permanently.
// Otherwise the error is that of Check, or a *failure.Error:
//   - CodeInvalidRequest: the proposal can never be accepted.
//   - CodeBodyTooLarge: the change exceeds MaxChangeBytes. Definitely not accepted.
//   - CodeConflict: a resource does not have its expected revision. Definitely not accepted.
//   - CodeConfigUnavailable: the key-value service is unavailable or refuses the change. Definitely not accepted.
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
	attempt := &applyRun{writer: w, proposal: proposal}
	return attempt.run(ctx)
}

// DryRun prepares and checks a proposal against the newest state of the key-value service without committing it.
func (w *Writer) DryRun(ctx context.Context, proposal Proposal) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	if err := validate(proposal); err != nil {
		return Change{}, err
	}
	base, err := w.settledBase(ctx)
	if err != nil {
		return Change{}, unavailable(err)
	}
	return prepare(base, proposal, w.now())
}

// settledBase returns the newest state, as newest does, and reads again while the copy moves on during the reading, which
// only shows that other changes are being accepted. Each such reading costs one call.
func (w *Writer) settledBase(ctx context.Context) (*State, error) {
	bound := minApplyBackoff
	for {
		_, base, err := w.newest(ctx)
		if !errors.Is(err, errHeadBehind) {
			return base, err
		}
		if sleepErr := w.sleep(ctx, w.jitter(bound)); sleepErr != nil {
			return nil, fmt.Errorf("%w: %w", err, sleepErr)
		}
		bound = min(2*bound, maxApplyBackoff)
	}
}

// validate rejects proposals that are invalid for any state.
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

// applyRun is one call of Apply.
type applyRun struct {
	writer   *Writer
	proposal Proposal
	// pending is the revision of a commit with an unknown outcome, or zero. While it is set, the proposal may be rejected
	// only after the head is known to have reached that revision with another change.
	pending int64
}

func (a *applyRun) run(ctx context.Context) (Change, error) {
	bound := minApplyBackoff
	for {
		change, done, err := a.attempt(ctx)
		if done {
			return change, err
		}
		delay := a.writer.jitter(bound)
		bound = min(2*bound, maxApplyBackoff)
		if a.writer.sleep(ctx, delay) != nil {
			return Change{}, a.unresolvedError(err)
		}
	}
}

// unresolvedError returns the error for a proposal that could not be completed: an unknown outcome if a commit is pending,
// otherwise unavailability.
func (a *applyRun) unresolvedError(cause error) error {
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
func (a *applyRun) attempt(ctx context.Context) (change Change, done bool, err error) {
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
		// An earlier commit on this same head may still be applied, so a rejection now would not be definite.
		return Change{}, true, a.unresolvedError(err)
	}
	if err != nil {
		return Change{}, true, err
	}
	return a.commit(ctx, newest, change)
}

// resolve reports whether the proposal has already been accepted. If the head has not reached the pending revision, the
// earlier commit may still be applied. Committing again on the same head is safe, because the comparison of the head can
// succeed for at most one of the two commits.
func (a *applyRun) resolve(ctx context.Context, newest head) (Change, bool, error) {
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
	// Another change has the pending revision, so the earlier commit's comparison of the head can no longer succeed.
	a.pending = 0
	return Change{}, false, nil
}

func (a *applyRun) commit(ctx context.Context, newest head, change Change) (Change, bool, error) {
	compares := []kv.Compare{{Key: headKey, ModRevision: newest.modRevision}}
	result, err := a.writer.store.Commit(ctx, compares, writesOf(change))
	if err != nil && !kv.NotApplied(err) {
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
	a.writer.awaitSecondCopy(ctx, accepted.Revision)
	return accepted, true, nil
}

// awaitSecondCopy waits up to secondCopyTimeout until a second node has the change. The change is accepted either way, but if
// this node and the key-value service both fail right after the answer, the second node can still propagate it.
func (w *Writer) awaitSecondCopy(ctx context.Context, revision int64) {
	waiter, able := w.local.(replicationWaiter)
	if !able {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, secondCopyTimeout)
	defer cancel()
	waiter.AwaitHeld(ctx, revision)
}

// newest returns the head and the local state at exactly the head's revision.
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

// errHeadBehind reports that the copy does not match the head that was read. Either the copy has just received a newer change
// or, if the error persists, the key-value service has lost accepted changes.
const errHeadBehind = failure.Kind("confsync: the service's head is behind this node's copy")

// prepare checks a proposal against base and returns the change that would follow base.
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

// nextChain extends the chain digest with a change identifier.
func nextChain(chain uint64, id string) uint64 {
	digest := xxhash.NewWithSeed(chain)
	// Writing to a hash cannot fail.
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// writesOf returns the writes that commit the change in one transaction.
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

// jitterUpperHalf returns a random duration between half the bound and the bound, so that callers that failed at the same time
// do not retry at the same time.
func jitterUpperHalf(bound time.Duration) time.Duration { return bound/2 + rand.N(bound/2) }

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
