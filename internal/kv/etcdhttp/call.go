package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
)

// effect says whether a call may change the service's state.
type effect bool

const (
	read   effect = false
	change effect = true
)

// lost is the failure of a call whose answer did not arrive.
func (e effect) lost() error {
	if e == change {
		return kv.ErrOutcomeUnknown
	}
	return kv.ErrUnavailable
}

// call sends one request and decodes its answer.
func (s *Store) call(ctx context.Context, path string, kind effect, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	response, err := s.send(ctx, path, kind, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer: %v: %w", err, kind.lost())
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("decode answer: %v: %w", err, kind.lost())
	}
	return nil
}

// callStreamed sends one request and decodes the first message of its streamed answer.
func (s *Store) callStreamed(ctx context.Context, path string, kind effect, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	response, err := s.send(ctx, path, kind, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var message etcdwire.StreamMessage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&message); err != nil {
		return fmt.Errorf("decode message: %v: %w", err, kind.lost())
	}
	if message.Error != nil {
		return refusal(0, *message.Error, kind)
	}
	if err := json.Unmarshal(message.Result, answer); err != nil {
		return fmt.Errorf("decode message: %v: %w", err, kind.lost())
	}
	return nil
}

// send posts the request and returns the first answer with status 200. It begins with the preferred endpoint and goes on
// to the next only while a repeat is harmless: after a failed read, or a change of which nothing was sent. An endpoint that
// failed or said that the service is away is not preferred any more, so that the caller's next call meets another.
func (s *Store) send(ctx context.Context, path string, kind effect, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %v: %w", err, kv.ErrUnavailable)
	}
	var last error
	for range s.endpoints {
		turn := s.preferred.Load()
		endpoint := s.endpoints[turn%uint64(len(s.endpoints))]
		response, sent, err := s.post(ctx, endpoint+path, body)
		if err == nil && response.StatusCode == http.StatusOK {
			return response, nil
		}
		if err == nil {
			failed := refused(response, kind)
			if response.StatusCode >= http.StatusInternalServerError {
				s.preferred.CompareAndSwap(turn, turn+1)
			}
			return nil, failed
		}
		s.preferred.CompareAndSwap(turn, turn+1)
		last = fmt.Errorf("post: %v: %w", err, kv.ErrUnavailable)
		if sent {
			last = fmt.Errorf("post: %v: %w", err, kind.lost())
		}
		if sent && kind == change || ctx.Err() != nil {
			return nil, last
		}
	}
	return nil, last
}

// post sends the body once. sent is false only if no connection was had, so that no byte can have left.
func (s *Store) post(ctx context.Context, url string, body []byte) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if s.clientName != "" {
		request.Header.Set(etcdwire.ClientHeader, s.clientName)
	}
	response, err = s.client.Do(request)
	return response, connected.Load(), err
}

// refused reads the error body of an answer and closes it.
func refused(response *http.Response, kind effect) error {
	defer response.Body.Close()
	var wire etcdwire.Error
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		// A body that is no error message leaves the zero Error, which refusal treats as saying nothing.
		_ = json.Unmarshal(body, &wire)
	}
	return refusal(response.StatusCode, wire, kind)
}

// refusal maps a refusal of the service to a failure. Only refusals that the service gives before it proposes a change
// are definite; "request timed out" and "leader changed" come after and leave a change's outcome unknown.
func refusal(status int, wire etcdwire.Error, kind effect) error {
	definite := map[int]error{
		etcdwire.CodeResourceExhausted: kv.ErrRateLimited,
		etcdwire.CodeOutOfRange:        kv.ErrCompacted,
		etcdwire.CodeNotFound:          kv.ErrLeaseNotFound,
		etcdwire.CodeInvalidArgument:   kv.ErrUnavailable,
	}
	switch {
	case definite[wire.Code] != nil:
		return fmt.Errorf("service: %q: %w", wire.Message, definite[wire.Code])
	case status == http.StatusTooManyRequests:
		return fmt.Errorf("service: status %d: %w", status, kv.ErrRateLimited)
	case wire.Message == etcdwire.MessageNoLeader:
		return fmt.Errorf("service: %q: %w", wire.Message, kv.ErrUnavailable)
	default:
		return fmt.Errorf("service: status %d %q: %w", status, wire.Message, kind.lost())
	}
}
