package confsync

import (
	"context"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// maxBlocks is the number of hundred-change blocks a stale copy reads before it reads the whole state instead.
const maxBlocks = 3

// head identifies the newest accepted change and the key-value revision of the head record (modRevision).
type head struct {
	revision    int64
	changeID    string
	chain       uint64
	modRevision int64
	// readRevision is the key-value revision at which the record was read; a watch may start after it.
	readRevision int64
}

// remote reads the configuration from the key-value service.
type remote struct {
	store kv.Store
}

// CatchUp brings a copy up to date with the key-value service and never reverts it. It makes one call if the copy is current,
// and up to maxBlocks+1 more if it is behind: two calls in total when the missing changes are in one block.
func CatchUp(ctx context.Context, store kv.Store, local LocalCopy) error {
	_, err := remote{store: store}.follow(ctx, local)
	return err
}

// follow brings the copy up to date and returns the head that it read.
func (r remote) follow(ctx context.Context, local LocalCopy) (head, error) {
	newest, err := r.head(ctx)
	if err != nil {
		return head{}, err
	}
	return newest, r.catchUp(ctx, local, newest.revision)
}

// head reads the head record; if there is none, the revision is zero. It uses List instead of Get because a listing returns
// the key-value revision at which it was read. The record's own modification revision may already be compacted.
func (r remote) head(ctx context.Context) (head, error) {
	pairs, readRevision, err := r.store.List(ctx, headKey)
	if err != nil {
		return head{}, fmt.Errorf("read configuration head: %w", err)
	}
	newest := head{}
	if len(pairs) > 0 {
		if newest, err = decodeHead(pairs[0]); err != nil {
			return head{}, err
		}
	}
	newest.readRevision = readRevision
	return newest, nil
}

func decodeHead(pair kv.Pair) (head, error) {
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

// change reads one change record. It returns kv.ErrNotFound if the record does not exist or has been trimmed.
func (r remote) change(ctx context.Context, revision int64) (Change, error) {
	pair, err := r.store.Get(ctx, changeKey(revision))
	if err != nil {
		return Change{}, fmt.Errorf("read change %d: %w", revision, err)
	}
	return decodeChange(pair.Value)
}

// block reads the retained changes of the block that contains the revision, in order.
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

// state reads the head and every resource at one key-value revision.
func (r remote) state(ctx context.Context) (*State, error) {
	pairs, _, err := r.store.List(ctx, statePrefix)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var newest head
	var resources []Resource
	for _, pair := range pairs {
		if !isResourceKey(pair.Key) {
			if newest, err = decodeHead(pair); err != nil {
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

// catchUp brings the copy to the target revision or a newer one. It reads individual changes if they are retained and span at
// most maxBlocks blocks, and the whole state otherwise.
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
			// The change that follows the copy's revision has been trimmed.
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
