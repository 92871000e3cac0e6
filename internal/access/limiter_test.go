package access_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/access"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/quota"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// account simulates two workers that can own the ledger of a tenant, as nodes reach them.
type account struct {
	mutex   sync.Mutex
	ledgers map[string]*quota.Ledger
	// Workers in unresponsive do not answer; olderBuild means that the workers keep no ledger.
	unresponsive map[string]bool
	olderBuild   bool
	limit        quota.Limit
	calls        int
	// avoided are the workers that did not answer a node.
	avoided map[string]bool
}

var errUnresponsive = errors.New("gone")

func newAccount(limit quota.Limit) *account {
	return &account{limit: limit, unresponsive: map[string]bool{}, avoided: map[string]bool{}, ledgers: map[string]*quota.Ledger{
		"first": quota.NewLedger(window, time.Now().Add(-time.Minute)), "second": quota.NewLedger(window, time.Now().Add(-time.Minute)),
	}}
}

func (a *account) owner(ident.Tenant) (string, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.olderBuild {
		return "", false
	}
	for _, name := range []string{"first", "second"} {
		if !a.avoided[name] {
			return name, true
		}
	}
	return "", true
}

func (a *account) send(ctx context.Context, address string, spending *quota.NodeReport) (*quota.Answer, error) {
	time.Sleep(time.Millisecond)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.calls++
	if a.unresponsive[address] {
		a.mutex.Unlock()
		<-ctx.Done()
		a.mutex.Lock()
		a.avoided[address] = true
		return nil, errUnresponsive
	}
	return a.ledgers[address].ApplyReport(spending, func(ident.Tenant) (quota.Limit, bool) { return a.limit, true }, time.Now()), nil
}

const window = 5 * time.Second

func (a *account) limiter(node ident.Node, parent *tomb.Tomb) *access.Limiter {
	limiter := &access.Limiter{
		Meter: quota.NewMeter(node, 1, window, time.Now().Add(-time.Minute)), Owner: a.owner, Report: a.send, Logger: zerolog.Nop(), Now: time.Now,
	}
	limiter.Start(parent)
	return limiter
}

// sendRequests sends requests to each limiter at a rate per second, and returns how many were admitted.
func sendRequests(t *testing.T, limiters []*access.Limiter, tenant *work.Tenant, rate float64, duration time.Duration) int {
	var mutex sync.Mutex
	var all sync.WaitGroup
	passed := 0
	for _, limiter := range limiters {
		for sent := range int(rate * duration.Seconds()) {
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(time.Duration(float64(sent) / rate * float64(time.Second)))
				err := limiter.Admit(context.Background(), tenant, access.RequestInfo{})
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					passed++
					return
				}
				refusal := failure.As(err)
				assert.Check(t, refusal.Code == failure.CodeRateLimited && refusal.Outcome == outcome.NotRun && refusal.RetryAfter > 0)
				assert.Check(t, errors.Is(err, access.ErrOverLimit))
			}()
		}
	}
	all.Wait()
	return passed
}

func withNodes(t *testing.T, tenant *work.Tenant, nodes int, run func(account *account, limiters []*access.Limiter)) {
	simulated.Test(t, func(t *testing.T) {
		account := newAccount(quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst})
		parent := new(tomb.Tomb)
		var limiters []*access.Limiter
		for range nodes {
			limiters = append(limiters, account.limiter(ident.Node(rune('a'+len(limiters))), parent))
		}
		run(account, limiters)
		parent.Kill(nil)
		assert.NilError(t, parent.Wait())
		// Calls in flight end by themselves.
		time.Sleep(time.Second)
	})
}

var clinic = &work.Tenant{Name: "clinic", Rate: 20, Burst: 20}

// TestTenantWithinItsLimitIsServedAtEachNode spreads the requests that a tenant may send over nodes, each of which
// receives few of them.
func TestTenantWithinItsLimitIsServedAtEachNode(t *testing.T) {
	withNodes(t, clinic, 9, func(_ *account, limiters []*access.Limiter) {
		passed := sendRequests(t, limiters, clinic, 2, 20*time.Second)
		assert.Check(t, passed == 9*2*20)
	})
}

// TestTenantBeyondItsLimitIsRefused sends ten times the limit, at one node and spread over nine.
func TestTenantBeyondItsLimitIsRefused(t *testing.T) {
	for _, nodes := range []int{1, 9} {
		withNodes(t, clinic, nodes, func(_ *account, limiters []*access.Limiter) {
			const windows = 4
			passed := sendRequests(t, limiters, clinic, 200/float64(nodes), windows*window)
			allowed := clinic.Rate*window.Seconds() + clinic.Burst
			assert.Check(t, float64(passed) <= windows*allowed*1.1, "%d admitted", passed)
			assert.Check(t, float64(passed) >= windows*clinic.Rate*window.Seconds(), "%d admitted", passed)
		})
	}
}

// TestUnresponsiveOwnerIsReplaced has the first ledger owner of the tenant become unresponsive.
func TestUnresponsiveOwnerIsReplaced(t *testing.T) {
	withNodes(t, clinic, 9, func(account *account, limiters []*access.Limiter) {
		assert.Check(t, sendRequests(t, limiters, clinic, 1, 5*time.Second) == 45)
		account.unresponsive["first"] = true
		assert.Check(t, sendRequests(t, limiters, clinic, 1, 5*time.Second) == 45)
	})
}

// TestNodesThatReachNoOwnerUseTheirShare makes all ledger owners unresponsive. Together the nodes admit no more
// than the limit.
func TestNodesThatReachNoOwnerUseTheirShare(t *testing.T) {
	withNodes(t, clinic, 5, func(account *account, limiters []*access.Limiter) {
		sendRequests(t, limiters, clinic, 3, 5*time.Second)
		account.unresponsive["first"], account.unresponsive["second"] = true, true
		passed := sendRequests(t, limiters, clinic, 40, 5*time.Second)
		assert.Check(t, passed <= (5*20+20)*11/10+20, "%d admitted", passed)
		assert.Check(t, passed >= 40, "%d admitted", passed)
	})
}

// TestRequestIsDecidedOnDuringShutdown sends a request after the process's tomb has ended.
func TestRequestIsDecidedOnDuringShutdown(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		parent := new(tomb.Tomb)
		limiter := newAccount(quota.Limit{Rate: clinic.Rate, Burst: clinic.Burst}).limiter("a", parent)
		parent.Kill(nil)
		assert.NilError(t, parent.Wait())
		err := limiter.Admit(context.Background(), clinic, access.RequestInfo{})
		assert.Assert(t, err == nil || failure.As(err).Outcome == outcome.NotRun)
	})
}

// TestWorkersOfAnOlderBuildLimitNothing has no worker that keeps a ledger.
func TestWorkersOfAnOlderBuildLimitNothing(t *testing.T) {
	withNodes(t, clinic, 2, func(account *account, limiters []*access.Limiter) {
		account.olderBuild = true
		assert.Check(t, sendRequests(t, limiters, clinic, 100, time.Second) == 200)
	})
}

// TestTenantWithoutALimitCausesNoCalls sends requests of a tenant without a limit.
func TestTenantWithoutALimitCausesNoCalls(t *testing.T) {
	free := &work.Tenant{Name: "free"}
	withNodes(t, free, 2, func(account *account, limiters []*access.Limiter) {
		assert.Check(t, sendRequests(t, limiters, free, 100, time.Second) == 200)
		assert.Check(t, account.calls == 0)
		var none *access.Limiter
		assert.Check(t, none.Admit(context.Background(), clinic, access.RequestInfo{}) == nil)
	})
}
