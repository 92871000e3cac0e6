package jobpeer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

const (
	// quotaRankPrefix is the prefix of the keys by which workers are ranked to find the account holder of a tenant's quota. All
	// nodes must rank workers alike.
	quotaRankPrefix = "quota/"
	// quotaRetryInterval is how long a worker whose build does not support quotas is not called for them.
	quotaRetryInterval = 10 * time.Second
)

// QuotaOwner returns the address of the account holder of a tenant's quota: the first worker by rank that is not skipped. The
// address is empty if there is none. kept is false if workers are known and none of them supports quotas.
func (h *WorkerClient) QuotaOwner(tenant ident.Tenant) (address string, kept bool) {
	if len(h.knownWorkers()) == 0 {
		h.readWorkers(context.Background())
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	var best ident.Node
	unsupportedCount := 0
	for _, worker := range h.workers.Value() {
		if now.Before(h.quotaUnsupported[worker.Address]) {
			unsupportedCount++
			continue
		}
		if now.Before(h.skippedUntil[worker.Address]) {
			continue
		}
		if address == "" || rendezvous.Compare(quotaRankPrefix+string(tenant), worker.Node, best) < 0 {
			address, best = worker.Address, worker.Node
		}
	}
	return address, unsupportedCount == 0 || unsupportedCount < len(h.workers.Value())
}

// ReportQuota reports the admitted requests of tenants to their account holder.
func (h *WorkerClient) ReportQuota(ctx context.Context, address string, spending *quota.NodeReport) (*quota.Answer, error) {
	connection, err := h.Connect(address)
	answer := &quota.Answer{}
	if err == nil {
		err = connection.Invoke(ctx, methodQuota, jsoncall.Encoding{}, spending, answer)
	}
	switch {
	case err == nil:
		h.Reach.Answered()
		return answer, nil
	case isUnknownCall(err):
		h.markQuotaUnsupported(address)
	case ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded:
		h.Reach.Failed(h.Now())
		h.skip(address)
	}
	return nil, fmt.Errorf("%w: %s: %w", ErrNoWorker, address, err)
}

// isUnknownCall reports whether a node answered that it does not have the call because its build is older.
func isUnknownCall(err error) bool { return strings.Contains(err.Error(), "unknown rpc") }

func (h *WorkerClient) markQuotaUnsupported(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.quotaUnsupported == nil {
		h.quotaUnsupported = map[string]time.Time{}
	}
	h.quotaUnsupported[address] = h.Now().Add(quotaRetryInterval)
}

// Quota implements Server.
func (s *WorkerServer) Quota(_ context.Context, spending *quota.NodeReport) (*quota.Answer, error) {
	return s.Ledger.ApplyReport(spending, s.limitOf, s.Worker.Now()), nil
}

// limitOf returns the limit of a tenant in the active configuration.
func (s *WorkerServer) limitOf(name ident.Tenant) (quota.Limit, bool) {
	tenant := s.Worker.Routes.Tenant(name)
	if tenant == nil {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, true
}
