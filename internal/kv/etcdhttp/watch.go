package etcdhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
)

// Bounds of the wait before a dropped watch is resumed. Each wait is drawn evenly between half its bound and the bound,
// so that watchers of one outage do not return together.
const (
	minResumeDelay = 200 * time.Millisecond
	maxResumeDelay = 10 * time.Second
)

// watchBuffer is how many responses wait for a slow reader before the watch stops reading.
const watchBuffer = 16

// Watch implements kv.Store. The first connection is made before it returns; a stream that drops later is resumed after
// the last revision delivered, with backoff, until ctx ends or the revision is compacted.
func (s *Store) Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan kv.WatchResponse, error) {
	stream, err := s.openWatch(ctx, prefix, afterRevision)
	if err != nil {
		return nil, fmt.Errorf("watch %q: %w", prefix, err)
	}
	watch := &watch{
		store:     s,
		prefix:    prefix,
		revision:  afterRevision,
		responses: make(chan kv.WatchResponse, watchBuffer),
	}
	supervisor, ctx := tomb.WithContext(ctx)
	supervisor.Go(func() error {
		watch.run(ctx, stream)
		return nil
	})
	return watch.responses, nil
}

// watch is one watch over all its connections.
type watch struct {
	store     *Store
	prefix    string
	revision  int64
	responses chan kv.WatchResponse
}

// stream is one connection of a watch. A connection that the service holds open but does not answer is closed by
// cancel.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

func (s *stream) close() {
	s.cancel()
	s.body.Close()
}

// openWatch connects and waits for the service to confirm the watch, within the call timeout.
func (s *Store) openWatch(ctx context.Context, prefix string, afterRevision int64) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	confirm := time.AfterFunc(s.callTimeout, cancel)
	defer confirm.Stop()
	request := etcdwire.WatchRequest{Create: &etcdwire.WatchCreateRequest{
		Key:           []byte(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: afterRevision + 1,
	}}
	response, err := s.send(ctx, etcdwire.PathWatch, read, request)
	if err != nil {
		cancel()
		return nil, err
	}
	return confirmed(&stream{body: response.Body, cancel: cancel})
}

// confirmed reads the message that confirms a watch. The decoder may read ahead, so what it holds is put back.
func confirmed(opened *stream) (*stream, error) {
	decoder := json.NewDecoder(opened.body)
	message, err := nextMessage(decoder)
	if err == nil && !message.Created {
		err = fmt.Errorf("watch not confirmed: %w", kv.ErrUnavailable)
	}
	if err != nil {
		opened.close()
		return nil, err
	}
	opened.body = &joinedBody{Reader: io.MultiReader(decoder.Buffered(), opened.body), Closer: opened.body}
	return opened, nil
}

type joinedBody struct {
	io.Reader
	io.Closer
}

func nextMessage(decoder *json.Decoder) (etcdwire.WatchResponse, error) {
	var envelope etcdwire.StreamMessage
	var message etcdwire.WatchResponse
	if err := decoder.Decode(&envelope); err != nil {
		return message, fmt.Errorf("read watch: %v: %w", err, kv.ErrUnavailable)
	}
	if envelope.Error != nil {
		return message, refusal(http.StatusOK, *envelope.Error, read)
	}
	if err := json.Unmarshal(envelope.Result, &message); err != nil {
		return message, fmt.Errorf("decode watch: %v: %w", err, kv.ErrUnavailable)
	}
	if message.CompactRevision > 0 {
		return message, fmt.Errorf("watch cancelled at revision %d: %w", message.CompactRevision, kv.ErrCompacted)
	}
	if message.Canceled {
		return message, fmt.Errorf("watch cancelled: %w", kv.ErrUnavailable)
	}
	return message, nil
}

// run reads the stream and resumes it until ctx ends or the watch's revision is compacted.
func (w *watch) run(ctx context.Context, opened *stream) {
	defer close(w.responses)
	for {
		err := w.read(ctx, opened)
		if errors.Is(err, kv.ErrCompacted) {
			w.deliver(ctx, kv.WatchResponse{Revision: w.revision, Err: err})
			return
		}
		opened, err = w.resume(ctx)
		if errors.Is(err, kv.ErrCompacted) {
			w.deliver(ctx, kv.WatchResponse{Revision: w.revision, Err: err})
			return
		}
		if err != nil {
			return
		}
	}
}

// read delivers the messages of one stream until it fails.
func (w *watch) read(ctx context.Context, opened *stream) error {
	defer opened.close()
	decoder := json.NewDecoder(opened.body)
	for {
		message, err := nextMessage(decoder)
		if err != nil {
			return err
		}
		response := responseOf(message)
		if len(response.Events) == 0 {
			continue
		}
		if !w.deliver(ctx, response) {
			return fmt.Errorf("deliver: %w", ctx.Err())
		}
		w.revision = response.Revision
	}
}

func (w *watch) deliver(ctx context.Context, response kv.WatchResponse) bool {
	select {
	case w.responses <- response:
		return true
	case <-ctx.Done():
		return false
	}
}

// responseOf converts a message. Its revision is that of its last event, the only one a resume may safely go on from.
func responseOf(message etcdwire.WatchResponse) kv.WatchResponse {
	var response kv.WatchResponse
	for _, event := range message.Events {
		pair := pairOf(event.Kv)
		response.Events = append(response.Events, kv.WatchEvent{
			Pair:    pair,
			Deleted: event.Type == etcdwire.EventDelete,
		})
		response.Revision = max(response.Revision, pair.ModRevision)
	}
	return response
}

// resume reconnects with backoff. It returns an error only if ctx ends or the revision is compacted.
func (w *watch) resume(ctx context.Context) (*stream, error) {
	bound := minResumeDelay
	for {
		delay := bound/2 + rand.N(bound/2)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, fmt.Errorf("resume watch: %w", ctx.Err())
		}
		opened, err := w.store.openWatch(ctx, w.prefix, w.revision)
		if err == nil || errors.Is(err, kv.ErrCompacted) {
			return opened, err
		}
		bound = min(2*bound, maxResumeDelay)
	}
}
