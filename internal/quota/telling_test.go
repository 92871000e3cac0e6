package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// tellerRig is a node with one owner, and the time of both.
type tellerRig struct {
	t      *testing.T
	now    time.Time
	meter  *Meter
	ledger *Ledger
	limit  Limit
	// owner is its name.
	owner string
	// old has the owner answer as one of a build without epochs.
	old bool
}

func newTellerRig(t *testing.T) *tellerRig {
	now := time.Unix(1000, 0)
	return &tellerRig{
		t: t, now: now, owner: "first", limit: Limit{Rate: 100, Burst: 100},
		meter: NewMeter("node", 1, simWindow, now.Add(-time.Hour)), ledger: NewLedger(simWindow, now.Add(-time.Hour)),
	}
}

// tell passes what is due on, and returns the messages.
func (r *tellerRig) tell() []*Spending {
	var told []*Spending
	for _, spending := range r.meter.Due(func(ident.Tenant) string { return r.owner }, r.now) {
		answer := r.ledger.Settle(spending, func(ident.Tenant) (Limit, bool) { return r.limit, true }, r.now)
		if r.old {
			answer.Epoch = 0
		}
		assert.Assert(r.t, r.meter.Settle(spending, answer, r.now))
		told = append(told, spending)
	}
	return told
}

// request has a request come, which asks where it must.
func (r *tellerRig) request(tenant ident.Tenant) {
	if r.meter.Take(tenant, r.limit, r.now).Decision == Admit {
		return
	}
	r.meter.Wait(tenant, r.limit)
	r.tell()
	assert.Equal(r.t, r.meter.Take(tenant, r.limit, r.now).Decision, Admit)
	r.meter.Leave(tenant)
}

// known is what the owner counts of a tenant.
func (r *tellerRig) known(tenant ident.Tenant) int {
	book := r.ledger.tenants[tenant]
	if book == nil {
		return 0
	}
	return book.total.all(r.ledger.on.index(r.now))
}

// pass lets time go by, and returns the messages of it.
func (r *tellerRig) pass(lasting time.Duration) []*Spending {
	var told []*Spending
	for end := r.now.Add(lasting); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		told = append(told, r.tell()...)
	}
	return told
}

// TestOwnerIsToldWhatItDoesNotKnow has an owner count the requests for which it gave credit, so that it need not be told of them again,
// only that nothing came since.
func TestOwnerIsToldWhatItDoesNotKnow(t *testing.T) {
	r := newTellerRig(t)
	for _, tenant := range []ident.Tenant{"a", "b", "c"} {
		r.request(tenant)
		assert.Equal(t, r.known(tenant), 1)
	}
	told := r.pass(2 * time.Second)
	assert.Assert(t, len(told) <= 2, "%d messages", len(told))
	for _, spending := range told {
		assert.Equal(t, len(spending.Spent), 0)
		assert.Assert(t, spending.Kept != 0)
	}
	assert.Equal(t, r.known("a"), 1)
	// What was let through without credit is told.
	r.meter.Pass("a", r.limit, r.now)
	r.pass(looseEvery + 200*time.Millisecond)
	assert.Equal(t, r.known("a"), 2)
}

// TestOwnerThatLostItsMemoryIsToldAll starts an owner anew under its name: the next message finds out, and the one after it tells all.
func TestOwnerThatLostItsMemoryIsToldAll(t *testing.T) {
	r := newTellerRig(t)
	tenants := []ident.Tenant{"a", "b", "c"}
	for _, tenant := range tenants {
		r.request(tenant)
	}
	r.pass(time.Second)
	r.ledger = NewLedger(simWindow, r.now)
	r.pass(looseToldAfter)
	for _, tenant := range tenants {
		assert.Equal(t, r.known(tenant), 1, "%s", tenant)
	}
}

// TestUnusedCreditIsGivenBack leaves the credit for a request that went away unused: the owner counts it only until it is told.
func TestUnusedCreditIsGivenBack(t *testing.T) {
	r := newTellerRig(t)
	r.meter.Wait("a", r.limit)
	r.tell()
	r.meter.Leave("a")
	assert.Equal(t, r.known("a"), 1)
	r.meter.Pass("a", r.limit, r.now)
	r.pass(keepEvery + 200*time.Millisecond)
	assert.Equal(t, r.known("a"), 1, "the one that passed, and not the one that went away")
}

// TestOlderBuilds has an owner, and then a node, of a build that knows of no epochs: all is told each time, as before.
func TestOlderBuilds(t *testing.T) {
	r := newTellerRig(t)
	r.old = true
	r.request("a")
	r.request("b")
	times := 0
	for _, spending := range r.pass(3 * time.Second) {
		assert.Equal(t, spending.Kept, uint32(0))
		times += len(spending.Spent)
	}
	assert.Assert(t, times >= 2*int(3*time.Second/keepEvery)-2, "%d", times)
	assert.Equal(t, r.known("a"), 1)

	node := &Spending{Node: "older", Incarnation: 1, AgeMs: time.Hour.Milliseconds(), Spent: []Spent{{Tenant: "c", Recent: []int{1}, Want: 1}}}
	limit := func(ident.Tenant) (Limit, bool) { return r.limit, true }
	assert.Equal(t, r.ledger.Settle(node, limit, r.now).Credits[0].Amount, 1)
	assert.Equal(t, r.known("c"), 2)
	// It tells of the request that waited as of any other.
	node.Spent[0] = Spent{Tenant: "c", Recent: []int{2}}
	r.ledger.Settle(node, limit, r.now)
	assert.Equal(t, r.known("c"), 2)
}

// TestOwnerThatTakesOverATenantFarBelowItsLimitRefusesNothing has a node's requests of a tenant come many together after it was told its
// share: the share of a few does not make all of them a part of the limit. Callers were told to come back though the limit was far away.
func TestOwnerThatTakesOverATenantFarBelowItsLimitRefusesNothing(t *testing.T) {
	r := newTellerRig(t)
	r.limit = Limit{Rate: 100_000, Burst: 100_000}
	r.request("a")
	r.pass(time.Second)
	r.request("a")
	for range 60 {
		r.meter.Pass("a", r.limit, r.now)
	}
	r.owner, r.ledger = "second", NewLedger(simWindow, r.now.Add(-time.Hour))
	for range 20 {
		r.request("a")
		r.pass(100 * time.Millisecond)
	}
}

// TestProcessThatEndedHoldsNothingBack has a tenant's only node be killed and come back, where the tenant's callers now meet another node.
// The killed process is not cut off: its node tells of other tenants. What it let through counts for a window and no longer, so that
// a small tenant is served as before within some seconds, and not refused for a minute.
func TestProcessThatEndedHoldsNothingBack(t *testing.T) {
	r := newTellerRig(t)
	r.limit = Limit{Rate: 1, Burst: 1}
	r.request("small")
	// The owner tells of shares once all nodes had time to tell it of the tenant.
	r.now = r.now.Add(2 * time.Second)
	r.request("small")
	r.meter = NewMeter("node", 2, simWindow, r.now)
	for range 10 {
		r.now = r.now.Add(time.Second)
		r.request("other")
	}
	r.meter = NewMeter("another", 1, simWindow, r.now.Add(-time.Hour))
	for range 3 {
		r.request("small")
		r.now = r.now.Add(time.Second)
	}
}
