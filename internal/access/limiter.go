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
	// askFor is how long a request waits for credit. A worker that is gone is noticed within tellTimeout, and another one asked.
	askFor      = 250 * time.Millisecond
	tellTimeout = 100 * time.Millisecond
	// ownersAsked is how many owners of a tenant a request is asked for before the node decides alone.
	ownersAsked = 2
	// tellEvery is the time between two looks for what owners are to be told without being asked.
	tellEvery = 100 * time.Millisecond
	// spread is the least time over which the callers that were refused together come back.
	spread = 500 * time.Millisecond
	// usageEvery is the time between two lines of what tenants sent, usageTold how many tenants a line names.
	usageEvery = 10 * time.Second
	usageTold  = 8
)

// ErrOverLimit means that a request is beyond what its tenant may send over all nodes.
const ErrOverLimit = failure.Kind("access: beyond the tenant's limit")

// Limiter keeps the requests of tenants within their limits. Its exported fields are set before Start; it is safe for concurrent use. A
// nil Limiter limits nothing.
type Limiter struct {
	Meter *quota.Meter
	// Owner returns the worker that keeps account of a tenant, or an empty address where none is reached. kept is false where the
	// workers are of a build that keeps none.
	Owner func(tenant ident.Tenant) (address string, kept bool)
	// Tell tells a worker what was let through and returns its answer.
	Tell   func(ctx context.Context, address string, spending *quota.Spending) (*quota.Answer, error)
	Logger zerolog.Logger
	Now    func() time.Time

	tomb  *tomb.Tomb
	mutex sync.Mutex
	// news is closed when an owner has answered, or failed to.
	news chan struct{}
	// usage is what tenants sent since it was logged last.
	usage      map[ident.Tenant]*usage
	usageSince time.Time
	returns    returns
}

// usage counts the requests of a tenant.
type usage struct {
	tenant          ident.Tenant
	passed, refused int
}

// Start tells owners what is due until the tomb dies.
func (l *Limiter) Start(parent *tomb.Tomb) {
	l.tomb, l.news, l.usage, l.usageSince = parent, make(chan struct{}), map[ident.Tenant]*usage{}, l.Now()
	parent.Go(func() error {
		ticker := time.NewTicker(tellEvery)
		defer ticker.Stop()
		for {
			select {
			case <-parent.Dying():
				return nil
			case <-ticker.C:
				l.tellDue()
				l.tellUsage()
			}
		}
	})
}

// Admit returns nil for a request within its tenant's limit. While requests of the tenant are refused that can be on time, one that comes
// again too late for that is refused for them: it would take the place of one of theirs. The error is a *failure.Error of a request that
// was not run.
func (l *Limiter) Admit(ctx context.Context, tenant *work.Tenant, asked Asked) error {
	if l == nil || tenant == nil {
		return nil
	}
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	again, gives := l.givesWay(tenant.Name, limit, asked)
	verdict := quota.Verdict{Decision: quota.Refuse, After: spread}
	if !gives {
		verdict = l.Meter.Take(tenant.Name, limit, l.Now())
	}
	if verdict.Decision == quota.Ask {
		verdict = l.await(ctx, tenant.Name, limit)
	}
	l.count(tenant.Name, verdict.Decision, again)
	if verdict.Decision == quota.Admit {
		return nil
	}
	after := verdict.After + time.Duration(rand.Int64N(int64(max(verdict.After, spread))))
	return failure.New(failure.CodeRateLimited, "the tenant has sent as many requests as it may").WithRetryAfter(after).WithCause(ErrOverLimit)
}

// await decides on a request for which the owner has to be asked.
func (l *Limiter) await(ctx context.Context, tenant ident.Tenant, limit quota.Limit) quota.Verdict {
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	failures := l.Meter.Wait(tenant, limit)
	defer l.Meter.Leave(tenant)
	for ctx.Err() == nil && l.Meter.Failures(tenant)-failures < ownersAsked {
		owner, kept := l.Owner(tenant)
		if !kept {
			l.Meter.Pass(tenant, limit, l.Now())
			return quota.Verdict{}
		}
		if owner == "" {
			break
		}
		news := l.nextNews()
		l.tellDue()
		select {
		case <-news:
		case <-ctx.Done():
		}
		if verdict := l.Meter.Take(tenant, limit, l.Now()); verdict.Decision != quota.Ask {
			return verdict
		}
	}
	return l.Meter.TakeAlone(tenant, limit, l.Now())
}

func (l *Limiter) nextNews() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.news
}

func (l *Limiter) tellNews() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.news)
	l.news = make(chan struct{})
}

// tellDue tells each owner what is due, in the background.
func (l *Limiter) tellDue() {
	owner := func(tenant ident.Tenant) string {
		address, _ := l.Owner(tenant)
		return address
	}
	for address, spending := range l.Meter.Due(owner, l.Now()) {
		// Each call has a tomb of its own: requests are served for a while when that of the process takes no more.
		new(tomb.Tomb).Go(func() error { l.tell(address, spending); return nil })
	}
}

func (l *Limiter) tell(address string, spending *quota.Spending) {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), tellTimeout)
	defer cancel()
	sent := l.Now()
	answer, err := l.Tell(ctx, address, spending)
	if err == nil {
		l.Meter.Settle(spending, answer, sent)
	} else {
		l.Meter.Failed(spending)
	}
	l.tellNews()
}

// givesWay says whether a request comes again too late to be on time, and whether it is refused for those that can be.
func (l *Limiter) givesWay(tenant ident.Tenant, limit quota.Limit, asked Asked) (again, gives bool) {
	if !limit.Bounded() {
		return false, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	again = l.returns.again(tenant, asked, now)
	return again, again && l.returns.isPressed(tenant, now)
}

// count notes what became of a request.
func (l *Limiter) count(tenant ident.Tenant, decision quota.Decision, again bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if decision != quota.Admit && !again {
		l.returns.press(tenant, l.Now())
	}
	counted := l.usage[tenant]
	if counted == nil {
		counted = &usage{tenant: tenant}
		l.usage[tenant] = counted
	}
	if decision == quota.Admit {
		counted.passed++
	} else {
		counted.refused++
	}
}

// tellUsage writes a line of what tenants sent now and then: the largest by name, the others together.
func (l *Limiter) tellUsage() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.Now().Sub(l.usageSince) < usageEvery || len(l.usage) == 0 {
		return
	}
	counted := make([]*usage, 0, len(l.usage))
	for _, one := range l.usage {
		counted = append(counted, one)
	}
	l.usage, l.usageSince = map[ident.Tenant]*usage{}, l.Now()
	slices.SortFunc(counted, func(first, second *usage) int {
		return cmp.Or(cmp.Compare(second.passed+second.refused, first.passed+first.refused), cmp.Compare(first.tenant, second.tenant))
	})
	named, others := zerolog.Dict(), usage{}
	for position, one := range counted {
		if position < usageTold {
			named.Ints(string(one.tenant), []int{one.passed, one.refused})
			continue
		}
		others.passed += one.passed
		others.refused += one.refused
	}
	event.TenantUsage.Log(l.Logger).Dict("passed_refused", named).Int("others", max(len(counted)-usageTold, 0)).
		Int("others_passed", others.passed).Int("others_refused", others.refused).Send()
}
