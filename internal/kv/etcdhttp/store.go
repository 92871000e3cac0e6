// Package etcdhttp speaks the etcd v3 JSON-over-HTTP mapping and implements kv.Store on it.
//
// A read that fails is kv.ErrUnavailable. A change that fails is kv.ErrUnavailable only if nothing was sent or the
// service says that it refused the call before it could take effect; any other failure is kv.ErrOutcomeUnknown.
package etcdhttp

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
)

// ErrNoEndpoint means that the store was given no endpoint.
const ErrNoEndpoint = failure.Kind("etcdhttp: no endpoint")

// Defaults of the adapter.
const (
	// DefaultCallTimeout bounds one call, over all the endpoints it tries.
	DefaultCallTimeout = 3 * time.Second
	// DefaultDialTimeout bounds one attempt to connect.
	DefaultDialTimeout = 1 * time.Second
	// maxAnswerBytes bounds one answer, and one message of a watch.
	maxAnswerBytes = 64 << 20
)

// Store is a kv.Store over HTTP. It is safe for concurrent use.
type Store struct {
	endpoints   []string
	client      *http.Client
	callTimeout time.Duration
	clientName  string
	// preferred counts how often calls have moved on; modulo the endpoints it is the one that calls begin with.
	preferred atomic.Uint64
}

var _ kv.Store = (*Store)(nil)

// Option changes a Store that is being made.
type Option func(*Store)

// WithTLS makes connections to endpoints that begin with "https://" by the configuration that config returns for the
// endpoint's host. It is asked for each connection, so that a replaced certificate or authority needs no restart.
func WithTLS(config func(host string) *tls.Config) Option {
	return func(s *Store) { s.client = newClient(config) }
}

// WithCallTimeout bounds one call; DefaultCallTimeout if not given.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *Store) { s.callTimeout = timeout }
}

// WithClientName names this client to the service, for its logs and for the stand-in's faults.
func WithClientName(name string) Option {
	return func(s *Store) { s.clientName = name }
}

// New returns a Store that stays with one of the endpoints ("http://IP:PORT", or "https://" with WithTLS) until a call to it fails, and then goes on
// to the next. Nothing is sent until the first call.
func New(endpoints []string, options ...Option) (*Store, error) {
	if len(endpoints) == 0 {
		return nil, fmt.Errorf("new key-value client: %w", ErrNoEndpoint)
	}
	store := &Store{
		endpoints:   append([]string(nil), endpoints...),
		client:      newClient(nil),
		callTimeout: DefaultCallTimeout,
	}
	for _, option := range options {
		option(store)
	}
	return store, nil
}

// newClient returns the client that carries the calls. It has no Timeout, which would cut watches.
func newClient(config func(host string) *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: 5 * time.Second}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     90 * time.Second,
	}
	if config != nil {
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, fmt.Errorf("endpoint %q: %w", address, err)
			}
			return (&tls.Dialer{NetDialer: dialer, Config: config(host)}).DialContext(ctx, network, address)
		}
	}
	return &http.Client{Transport: transport}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Pair, error) {
	var answer etcdwire.RangeResponse
	request := etcdwire.RangeRequest{Key: []byte(key)}
	if err := s.call(ctx, etcdwire.PathRange, read, request, &answer); err != nil {
		return kv.Pair{}, fmt.Errorf("get %q: %w", key, err)
	}
	if len(answer.Kvs) == 0 {
		return kv.Pair{}, fmt.Errorf("get %q: %w", key, kv.ErrNotFound)
	}
	return pairOf(answer.Kvs[0]), nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	var answer etcdwire.RangeResponse
	request := etcdwire.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := s.call(ctx, etcdwire.PathRange, read, request, &answer); err != nil {
		return nil, 0, fmt.Errorf("list %q: %w", prefix, err)
	}
	pairs := make([]kv.Pair, 0, len(answer.Kvs))
	for _, stored := range answer.Kvs {
		pairs = append(pairs, pairOf(stored))
	}
	return pairs, answer.Header.Revision, nil
}

// Commit implements kv.Store.
func (s *Store) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	var answer etcdwire.TxnResponse
	request := transactionOf(compares, writes)
	if err := s.call(ctx, etcdwire.PathTxn, change, request, &answer); err != nil {
		return kv.TransactionResult{}, fmt.Errorf("commit: %w", err)
	}
	return kv.TransactionResult{Succeeded: answer.Succeeded, Revision: answer.Header.Revision}, nil
}

func transactionOf(compares []kv.Compare, writes []kv.Write) etcdwire.TxnRequest {
	var request etcdwire.TxnRequest
	for _, compare := range compares {
		request.Compare = append(request.Compare, etcdwire.Compare{
			Result:      etcdwire.ResultEqual,
			Target:      etcdwire.TargetMod,
			Key:         []byte(compare.Key),
			ModRevision: compare.ModRevision,
		})
	}
	for _, write := range writes {
		request.Success = append(request.Success, requestOpOf(write))
	}
	return request
}

func requestOpOf(write kv.Write) etcdwire.RequestOp {
	if write.Delete {
		return etcdwire.RequestOp{DeleteRange: &etcdwire.DeleteRangeRequest{Key: []byte(write.Key)}}
	}
	return etcdwire.RequestOp{Put: &etcdwire.PutRequest{
		Key:   []byte(write.Key),
		Value: write.Value,
		Lease: int64(write.Lease),
	}}
}

// Grant implements kv.Store. The service counts in whole seconds; ttl is rounded up.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var answer etcdwire.LeaseGrantResponse
	request := etcdwire.LeaseGrantRequest{TTL: int64(math.Ceil(ttl.Seconds()))}
	if err := s.call(ctx, etcdwire.PathLeaseGrant, change, request, &answer); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return kv.LeaseID(answer.ID), nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, lease kv.LeaseID) (time.Duration, error) {
	var answer etcdwire.LeaseKeepAliveResponse
	request := etcdwire.LeaseRequest{ID: int64(lease)}
	if err := s.callStreamed(ctx, etcdwire.PathKeepAlive, change, request, &answer); err != nil {
		return 0, fmt.Errorf("keep lease alive: %w", err)
	}
	if answer.TTL <= 0 {
		return 0, fmt.Errorf("keep lease alive: %w", kv.ErrLeaseNotFound)
	}
	return time.Duration(answer.TTL) * time.Second, nil
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, lease kv.LeaseID) error {
	var answer etcdwire.LeaseRevokeResponse
	request := etcdwire.LeaseRequest{ID: int64(lease)}
	if err := s.call(ctx, etcdwire.PathRevoke, change, request, &answer); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}

func pairOf(stored etcdwire.KeyValue) kv.Pair {
	return kv.Pair{
		Key:            string(stored.Key),
		Value:          stored.Value,
		CreateRevision: stored.CreateRevision,
		ModRevision:    stored.ModRevision,
		Lease:          kv.LeaseID(stored.Lease),
	}
}

// prefixEnd returns the end of the range of keys with the prefix; a zero byte means "to the last key".
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for last := len(end) - 1; last >= 0; last-- {
		if end[last] < 0xff {
			end[last]++
			return end[:last+1]
		}
	}
	return []byte{0}
}
