package access

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// decisionTimeout is how long a request waits for credit. Within it, a dead worker is detected after
	// callTimeout, and another one is asked.
	decisionTimeout = 250 * time.Millisecond
	callTimeout     = 100 * time.Millisecond
	// maxOwners is the number of failed calls to ledger owners of a tenant after which the node decides without
	// one.
	maxOwners = 2
	// reportInterval is the time between two checks for spending that has to be reported to ledger owners without
	// a request waiting for it.
	reportInterval = 100 * time.Millisecond
	// minRetrySpread is the shortest period over which the retries of callers that were refused together are
	// spread.
	minRetrySpread = 500 * time.Millisecond
	// usageLogInterval is the time between two log lines on tenants' usage, usageLogTenants the number of tenants
	// that a line names.
	usageLogInterval = 10 * time.Second
	usageLogTenants  = 8
)

// ErrOverLimit means that a request exceeds its tenant's limit over all nodes.
const ErrOverLimit = failure.Kind("access: tenant limit exceeded")

// Limiter keeps tenants' requests within their limits. Its exported fields are set before Start; it is safe for
// concurrent use. A nil Limiter admits all requests.
type Limiter struct {
	Meter *quota.Meter
	// Owner returns the ledger owner of a tenant, or an empty address if none is reachable. kept is false if the
	// workers are of a build that keeps no ledger.
	Owner func(tenant ident.Tenant) (address string, kept bool)
	// Report reports the admitted requests to a worker and returns its answer.
	Report func(ctx context.Context, address string, spending *quota.NodeReport) (*quota.Answer, error)
	Logger zerolog.Logger
	Now    func() time.Time

	tomb  *tomb.Tomb
	mutex sync.Mutex
	// answered is closed and replaced when a call to a ledger owner has ended, successfully or not.
	answered chan struct{}
	// usage counts the tenants' requests since the last log line.
	usage        map[ident.Tenant]*usage
	usageSince   time.Time
	retryTracker retryTracker
}

// usage counts the requests of a tenant.
type usage struct {
	tenant          ident.Tenant
	passed, refused int
}

// Start reports due spending to the ledger owners until the tomb dies.
func (l *Limiter) Start(parent *tomb.Tomb) {
	l.tomb, l.answered, l.usage, l.usageSince = parent, make(chan struct{}), map[ident.Tenant]*usage{}, l.Now()
	parent.Go(func() error {
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-parent.Dying():
				return nil
			case <-ticker.C:
				l.sendDue()
				l.logUsage()
			}
		}
	})
}

// Admit returns nil for a request within its tenant's limit. While the tenant has requests refused that can still
// meet their objective, it also refuses retries that cannot, because they would use the limit of the former. The
// error is a *failure.Error of a request that was not run.
func (l *Limiter) Admit(ctx context.Context, tenant *work.Tenant, asked RequestInfo) error {
	if l == nil || tenant == nil {
		return nil
	}
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	lateRetry, refuse := l.checkRetry(tenant.Name, limit, asked)
	verdict := quota.Verdict{Decision: quota.Refuse, After: minRetrySpread}
	if !refuse {
		verdict = l.Meter.Take(tenant.Name, limit, l.Now())
	}
	if verdict.Decision == quota.Ask {
		verdict = l.await(ctx, tenant.Name, limit)
	}
	l.count(tenant.Name, verdict.Decision, lateRetry)
	if verdict.Decision == quota.Admit {
		return nil
	}
	after := verdict.After + time.Duration(rand.Int64N(int64(max(verdict.After, minRetrySpread))))
	return failure.New(failure.CodeRateLimited, "the tenant has sent as many requests as it may").WithRetryAfter(after).WithCause(ErrOverLimit)
}

// await decides on a request that needs credit from the tenant's ledger owner.
func (l *Limiter) await(ctx context.Context, tenant ident.Tenant, limit quota.Limit) quota.Verdict {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	failures := l.Meter.BeginWait(tenant, limit)
	defer l.Meter.EndWait(tenant)
	for ctx.Err() == nil && l.Meter.UnansweredReports(tenant)-failures < maxOwners {
		owner, kept := l.Owner(tenant)
		if !kept {
			l.Meter.AdmitUncounted(tenant, limit, l.Now())
			return quota.Verdict{}
		}
		if owner == "" {
			break
		}
		answered := l.nextAnswer()
		l.sendDue()
		select {
		case <-answered:
		case <-ctx.Done():
		}
		if verdict := l.Meter.Take(tenant, limit, l.Now()); verdict.Decision != quota.Ask {
			return verdict
		}
	}
	return l.Meter.TakeIsolated(tenant, limit, l.Now())
}

func (l *Limiter) nextAnswer() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.answered
}

func (l *Limiter) notifyWaiters() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.answered)
	l.answered = make(chan struct{})
}

// sendDue reports the due spending to each ledger owner, in the background.
func (l *Limiter) sendDue() {
	owner := func(tenant ident.Tenant) string {
		address, _ := l.Owner(tenant)
		return address
	}
	for address, spending := range l.Meter.DueReports(owner, l.Now()) {
		// Each call has its own tomb: during shutdown requests are still served for a while after the process's
		// tomb accepts no more goroutines.
		new(tomb.Tomb).Go(func() error { l.send(address, spending); return nil })
	}
}

func (l *Limiter) send(address string, spending *quota.NodeReport) {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	sent := l.Now()
	answer, err := l.Report(ctx, address, spending)
	if err == nil {
		l.Meter.ApplyAnswer(spending, answer, sent)
	} else {
		l.Meter.ReportFailed(spending)
	}
	l.notifyWaiters()
}

// checkRetry reports whether a request is a retry that is too late to meet its objective, and whether it has to be
// refused in favour of requests that can.
func (l *Limiter) checkRetry(tenant ident.Tenant, limit quota.Limit, asked RequestInfo) (lateRetry, refuse bool) {
	if !limit.Bounded() {
		return false, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	lateRetry = l.retryTracker.lateRetry(tenant, asked, now)
	return lateRetry, lateRetry && l.retryTracker.recentlyRefused(tenant, now)
}

// count records the decision on a request.
func (l *Limiter) count(tenant ident.Tenant, decision quota.Decision, lateRetry bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if decision != quota.Admit && !lateRetry {
		l.retryTracker.recordRefusal(tenant, l.Now())
	}
	entry := l.usage[tenant]
	if entry == nil {
		entry = &usage{tenant: tenant}
		l.usage[tenant] = entry
	}
	if decision == quota.Admit {
		entry.passed++
	} else {
		entry.refused++
	}
}

// logUsage logs tenants' usage every usageLogInterval: the largest tenants by name, the others as one sum.
func (l *Limiter) logUsage() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.Now().Sub(l.usageSince) < usageLogInterval || len(l.usage) == 0 {
		return
	}
	entries := make([]*usage, 0, len(l.usage))
	for _, entry := range l.usage {
		entries = append(entries, entry)
	}
	l.usage, l.usageSince = map[ident.Tenant]*usage{}, l.Now()
	slices.SortFunc(entries, func(first, second *usage) int {
		return cmp.Or(cmp.Compare(second.passed+second.refused, first.passed+first.refused), cmp.Compare(first.tenant, second.tenant))
	})
	named, others := zerolog.Dict(), usage{}
	for position, entry := range entries {
		if position < usageLogTenants {
			named.Ints(string(entry.tenant), []int{entry.passed, entry.refused})
			continue
		}
		others.passed += entry.passed
		others.refused += entry.refused
	}
	event.TenantUsage.Log(l.Logger).Dict("passed_refused", named).Int("others", max(len(entries)-usageLogTenants, 0)).
		Int("others_passed", others.passed).Int("others_refused", others.refused).Send()
}
