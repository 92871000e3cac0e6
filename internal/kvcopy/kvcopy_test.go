package kvcopy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/kvcopy"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	pageSize    = 200
	callTimeout = 700 * time.Millisecond
	maxAge      = 5 * time.Second
)

// slowStore is a store whose calls take time and count. It has pages of pageSize pairs and, if part is set, answers with that many
// changes at most.
type slowStore struct {
	kv.Paged
	data  *kvtest.Data
	delay time.Duration
	part  int
	calls int
	// during is called before each call is answered.
	during func()
	fail   error
}

func (s *slowStore) call(ctx context.Context) error {
	s.calls++
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return kv.ErrOutcomeUnknown
	}
	if s.during != nil {
		s.during()
	}
	return s.fail
}

func (s *slowStore) ListPage(ctx context.Context, prefix string, options kv.PageOptions) (kv.Page, error) {
	if err := s.call(ctx); err != nil {
		return kv.Page{}, err
	}
	events, revision := s.data.Range(prefix, kvtest.PrefixEnd(prefix))
	page := kv.Page{Revision: revision}
	for _, event := range events {
		if event.Pair.Key > options.After {
			page.Pairs = append(page.Pairs, event.Pair)
		}
	}
	page.More = len(page.Pairs) > pageSize
	page.Pairs = page.Pairs[:min(len(page.Pairs), pageSize)]
	return page, nil
}

func (s *slowStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchResponse, error) {
	if err := s.call(ctx); err != nil {
		return kv.WatchResponse{}, err
	}
	events, revision, err := s.data.EventsAfter(prefix, kvtest.PrefixEnd(prefix), after)
	if err != nil {
		return kv.WatchResponse{}, err
	}
	if s.part > 0 && len(events) > s.part {
		events = events[:s.part]
		revision = events[s.part-1].Pair.ModRevision
	}
	response := kv.WatchResponse{Revision: revision}
	for _, event := range events {
		response.Events = append(response.Events, kv.WatchEvent{Pair: event.Pair, Deleted: event.Deleted})
	}
	return response, nil
}

func key(index int) string { return fmt.Sprintf("runners/%06d", index) }

// put writes or deletes some keys.
func put(data *kvtest.Data, deleted bool, keys ...string) { write(data, "v", deleted, keys...) }

// write writes a value to some keys, or deletes them.
func write(data *kvtest.Data, value string, deleted bool, keys ...string) {
	_, err := data.Transact(func(func(string) (kv.Pair, int64, bool)) []kvtest.Op {
		var ops []kvtest.Op
		for _, key := range keys {
			ops = append(ops, kvtest.Op{Key: key, Value: []byte(value), Delete: deleted})
		}
		return ops
	})
	if err != nil {
		panic(err)
	}
}

func fill(size int) *kvtest.Data {
	data := kvtest.NewData(time.Now)
	put(data, false, keys(size)...)
	return data
}

// keys returns a number of keys.
func keys(size int) []string {
	var keys []string
	for index := range size {
		keys = append(keys, key(index))
	}
	return keys
}

func newCopy(store kv.Paged) *kvcopy.Copy[kv.Pair, []kv.Pair] {
	return kvcopy.New(kvcopy.Options[kv.Pair, []kv.Pair]{
		Store: store, Prefix: "runners/", MarkPrefix: "mark/", MaxAge: maxAge, Now: time.Now,
		Decode: func(pair kv.Pair) kv.Pair { return pair },
		Equal:  func(first, second kv.Pair) bool { return first.ModRevision == second.ModRevision },
		List:   func(pairs []kv.Pair) []kv.Pair { return pairs },
	})
}

// TestListIsMadeWhenAPairSaysSomethingElse renews all pairs of copies of several sizes: the list is made once, and anew only after
// a pair was changed, added or deleted.
func TestListIsMadeWhenAPairSaysSomethingElse(t *testing.T) {
	for _, size := range []int{1000, 10000, 20000} {
		simulated.Test(t, func(t *testing.T) {
			made := 0
			store := &slowStore{data: fill(size), delay: time.Millisecond}
			copied := kvcopy.New(kvcopy.Options[string, []string]{
				Store: store, Prefix: "runners/", MarkPrefix: "mark/", MaxAge: maxAge, Now: time.Now,
				Decode: func(pair kv.Pair) string { return string(pair.Value) },
				Equal:  func(first, second string) bool { return first == second },
				List:   func(values []string) []string { made++; return values },
			})
			read := func() []string {
				values, _, err := copied.Read(context.Background(), callTimeout)
				assert.NilError(t, err)
				return values
			}
			first := read()
			put(store.data, false, keys(size)...)
			assert.Assert(t, work.SameList(first, read()))
			assert.Equal(t, made, 1)
			for _, change := range []func(){
				func() { write(store.data, "w", false, key(1)) }, func() { put(store.data, false, key(size)) }, func() { put(store.data, true, key(0)) },
			} {
				change()
				before := made
				read()
				assert.Equal(t, made, before+1)
			}
		})
	}
}

// TestReadingAgainCostsTheChangesOnly reads copies of several sizes, with the usual delay of the store and one sixty times as long:
// the first reading ends although it takes longer than one call may, and the next one takes a few calls and learns of a deletion.
func TestReadingAgainCostsTheChangesOnly(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		for _, size := range []int{300, 10000, 20000} {
			simulated.Test(t, func(t *testing.T) {
				store := &slowStore{data: fill(size), delay: delay}
				copied := newCopy(store)
				pairs, _, err := copied.Read(context.Background(), callTimeout)
				assert.NilError(t, err)
				assert.Equal(t, len(pairs), size)
				pages := (size + pageSize - 1) / pageSize
				assert.Assert(t, store.calls <= pages+2, "%d calls", store.calls)
				// A slow listing is old when it ends; the next reading brings it up to date or lists anew.
				put(store.data, true, key(0))
				put(store.data, false, key(size))
				store.calls = 0
				began := time.Now()
				pairs, _, err = copied.Read(context.Background(), callTimeout)
				assert.NilError(t, err)
				assert.Equal(t, len(pairs), size)
				assert.Equal(t, pairs[0].Key, key(1))
				if time.Duration(pages)*delay < maxAge {
					assert.Assert(t, store.calls <= 3, "%d calls", store.calls)
					assert.Assert(t, time.Since(began) <= 3*delay)
				}
			})
		}
	}
}

// TestCopyIsTrueAsOfTheReading changes the store at random at any moment of a reading, tells it in parts, forgets its history and
// fails: each reading that succeeds has all that was true before it began and nothing that was deleted before.
func TestCopyIsTrueAsOfTheReading(t *testing.T) {
	for seed := range uint64(40) {
		simulated.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := &slowStore{data: fill(3 * pageSize), delay: time.Millisecond, part: 1 + random.IntN(20)}
			store.during = func() {
				put(store.data, random.IntN(2) == 0, key(random.IntN(4*pageSize)))
				if random.IntN(20) == 0 {
					store.data.Compact(store.data.Revision())
				}
			}
			copied := newCopy(store)
			for range 30 {
				store.fail = nil
				if random.IntN(5) == 0 {
					store.fail = kv.ErrUnavailable
				}
				before, _ := store.data.Range("runners/", kvtest.PrefixEnd("runners/"))
				since := store.data.Revision()
				pairs, revision, err := copied.Read(context.Background(), callTimeout)
				if store.fail != nil {
					assert.Assert(t, err != nil)
					continue
				}
				if err != nil {
					continue
				}
				assert.Assert(t, revision >= since)
				assert.Assert(t, slices.IsSortedFunc(pairs, func(a, b kv.Pair) int { return cmpKeys(a.Key, b.Key) }))
				have := map[string]int64{}
				for _, pair := range pairs {
					have[pair.Key] = pair.ModRevision
				}
				for _, event := range before {
					if current, _, exists := store.data.Get(event.Pair.Key); exists && current.ModRevision == event.Pair.ModRevision {
						assert.Equal(t, have[event.Pair.Key], event.Pair.ModRevision)
					}
				}
				for _, pair := range pairs {
					_, _, exists := store.data.Get(pair.Key)
					was := slices.ContainsFunc(before, func(event kvtest.Event) bool { return event.Pair.Key == pair.Key })
					assert.Assert(t, exists || was || pair.ModRevision > since, "%s was deleted before the reading", pair.Key)
				}
				if random.IntN(10) == 0 {
					time.Sleep(maxAge + time.Second)
					copied.Release()
				}
			}
		})
	}
}

func cmpKeys(first, second string) int {
	switch {
	case first < second:
		return -1
	case first > second:
		return 1
	}
	return 0
}
