package confsync

import (
	"context"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// maxBlocks is how many listings of a hundred changes a node that fell behind reads before it takes the whole state.
const maxBlocks = 3

// head is the newest accepted change, and the service's own revision of that record.
type head struct {
	revision    int64
	changeID    string
	chain       uint64
	modRevision int64
	// readRevision is the service's revision that the record was read at; a watch may start after it.
	readRevision int64
}

// remote reads the configuration from the key-value service.
type remote struct {
	store kv.Store
}

// CatchUp brings a copy up to date with the key-value service. It costs two calls when the copy is behind, one when it is
// not, and never takes the copy back.
func CatchUp(ctx context.Context, store kv.Store, local LocalCopy) error {
	_, err := remote{store: store}.follow(ctx, local)
	return err
}

// follow brings the copy up to date and returns the head it caught up with.
func (r remote) follow(ctx context.Context, local LocalCopy) (head, error) {
	newest, err := r.head(ctx)
	if err != nil {
		return head{}, err
	}
	return newest, r.catchUp(ctx, local, newest.revision)
}

// head reads the head record; a service without one is at revision zero. It lists rather than gets the one key, because
// a listing says which revision of the service it was read at: the record's own revision may be compacted long since.
func (r remote) head(ctx context.Context) (head, error) {
	pairs, readRevision, err := r.store.List(ctx, headKey)
	if err != nil {
		return head{}, fmt.Errorf("read configuration head: %w", err)
	}
	newest := head{}
	if len(pairs) > 0 {
		if newest, err = headOf(pairs[0]); err != nil {
			return head{}, err
		}
	}
	newest.readRevision = readRevision
	return newest, nil
}

func headOf(pair kv.Pair) (head, error) {
	var wire confsyncpb.Head
	if err := decode(pair.Value, &wire); err != nil {
		return head{}, fmt.Errorf("configuration head: %w", err)
	}
	return head{
		revision:    wire.GetRevision(),
		changeID:    wire.GetChangeId(),
		chain:       wire.GetChain(),
		modRevision: pair.ModRevision,
	}, nil
}

// change reads one change record, or kv.ErrNotFound if there is none or it has been trimmed.
func (r remote) change(ctx context.Context, revision int64) (Change, error) {
	pair, err := r.store.Get(ctx, changeKey(revision))
	if err != nil {
		return Change{}, fmt.Errorf("read change %d: %w", revision, err)
	}
	return decodeChange(pair.Value)
}

// block reads the kept changes of the hundred around the revision, in order.
func (r remote) block(ctx context.Context, revision int64) ([]Change, error) {
	pairs, _, err := r.store.List(ctx, blockPrefix(revision))
	if err != nil {
		return nil, fmt.Errorf("read changes around %d: %w", revision, err)
	}
	changes := make([]Change, 0, len(pairs))
	for _, pair := range pairs {
		change, err := decodeChange(pair.Value)
		if err != nil {
			return nil, fmt.Errorf("change %q: %w", pair.Key, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// state reads the head and every resource at one revision of the service.
func (r remote) state(ctx context.Context) (*State, error) {
	pairs, _, err := r.store.List(ctx, statePrefix)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var newest head
	var resources []Resource
	for _, pair := range pairs {
		if !isResourceKey(pair.Key) {
			if newest, err = headOf(pair); err != nil {
				return nil, err
			}
			continue
		}
		var wire confsyncpb.Resource
		if err := decode(pair.Value, &wire); err != nil {
			return nil, fmt.Errorf("resource %q: %w", pair.Key, err)
		}
		resources = append(resources, resourceFromWire(&wire))
	}
	return NewState(newest.revision, newest.chain, resources), nil
}

// catchUp brings the copy to at least the target revision: by the changes between if they are few and kept, else by
// the whole state.
func (r remote) catchUp(ctx context.Context, local LocalCopy, target int64) error {
	for range maxBlocks {
		from := local.State().Revision + 1
		if from > target {
			return nil
		}
		changes, err := r.block(ctx, from)
		if err != nil {
			return err
		}
		local.Learn(changes)
		if local.State().Revision < from {
			// The change after ours has been trimmed.
			break
		}
	}
	if local.State().Revision >= target {
		return nil
	}
	state, err := r.state(ctx)
	if err != nil {
		return err
	}
	local.Install(state)
	return nil
}
