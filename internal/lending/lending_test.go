package lending

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func request(node string, sequence int64, held ...Count) *Request {
	return &Request{Node: ident.Node(node), Address: node + ":1", Sequence: sequence, Held: held}
}

func TestLoansEndWithoutRenewal(t *testing.T) {
	var l Ledger
	now := time.Unix(100, 0)
	assert.Assert(t, l.Renew(request("w-1", 1), now))
	l.Lend("w-1", "r", 3)
	lent, used := l.LentAt("r", now)
	assert.Equal(t, lent, 3)
	assert.Equal(t, used, 0)
	assert.Assert(t, l.Renew(request("w-1", 2, Count{Runner: "r", Slots: 2}), now))
	lent, used = l.LentAt("r", now)
	assert.Equal(t, lent, 2, "a slot that the borrower does not hold was not returned")
	assert.Equal(t, used, 2)
	lent, _ = l.LentAt("r", now.Add(Lifetime))
	assert.Equal(t, lent, 0, "a loan without renewal did not expire")
	assert.Assert(t, !l.Any(now.Add(Lifetime)))
}

func TestRecalledSlotIsNotRevivedByARenewalInFlight(t *testing.T) {
	var l Ledger
	now := time.Unix(100, 0)
	l.Renew(request("w-1", 1), now)
	l.Lend("w-1", "r", 3)
	l.Renew(request("w-1", 2, Count{Runner: "r", Slots: 3}), now)
	orders, taken := l.Recall("r", 2, now)
	assert.Equal(t, taken, 2)
	assert.DeepEqual(t, orders, []AddressedRecall{{Address: "w-1:1", Recall: Recall{Runner: "r", Slots: 2}}})
	l.Renew(request("w-1", 3, Count{Runner: "r", Slots: 3}), now)
	assert.DeepEqual(t, l.LentTo("w-1"), []Count{{Runner: "r", Slots: 1}})
	orders, taken = l.Recall("r", 5, now)
	assert.Equal(t, taken, 1)
	assert.Equal(t, len(orders), 1)
	l.Renew(request("w-1", 4, Count{Runner: "r", Slots: 1}), now)
	assert.DeepEqual(t, l.LentTo("w-1"), []Count{{Runner: "r", Slots: 0}})
}

func TestLateRequestChangesNothing(t *testing.T) {
	var l Ledger
	now := time.Unix(100, 0)
	l.Renew(request("w-1", 5, Count{Runner: "r", Slots: 2}), now)
	assert.Assert(t, !l.Renew(request("w-1", 4), now))
	lent, _ := l.LentAt("r", now)
	assert.Equal(t, lent, 2)
}

// TestNewOwnerTakesHeldSlotsOver has an owner without records, for example after a restart: items still run in the
// borrowed slots.
func TestNewOwnerTakesHeldSlotsOver(t *testing.T) {
	var l Ledger
	now := time.Unix(100, 0)
	l.Renew(request("w-1", 9, Count{Runner: "r", Slots: 4}), now)
	lent, used := l.LentAt("r", now)
	assert.Equal(t, lent, 4)
	assert.Equal(t, used, 4)
}

// TestLentSlotsNeverExceedWhatWasLent draws calls of borrowers and the owner. The slots of all borrowers at the
// runner stay within what the owner lent and did not recall, even if requests are repeated or delayed.
func TestLentSlotsNeverExceedWhatWasLent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		now := time.Unix(100, 0)
		names := []string{"w-1", "w-2", "w-3"}
		allowed := map[string]int{}
		sequence := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "borrower")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				sequence++
				held := rapid.IntRange(0, allowed[name]+2).Draw(t, "held")
				_, known := allowed[name]
				assert.Assert(t, l.Renew(request(name, sequence, Count{Runner: "r", Slots: held}), now))
				if !known || held < allowed[name] {
					allowed[name] = held
				}
			case 1:
				if _, known := allowed[name]; known {
					slots := rapid.IntRange(0, 3).Draw(t, "places")
					l.Lend(ident.Node(name), "r", slots)
					allowed[name] += slots
				}
			case 2:
				wanted := rapid.IntRange(0, 6).Draw(t, "back")
				orders, taken := l.Recall("r", wanted, now)
				assert.Assert(t, taken <= wanted)
				recalled := 0
				for _, order := range orders {
					recalled += order.Recall.Slots
					allowed[order.Address[:3]] -= order.Recall.Slots
				}
				assert.Equal(t, recalled, taken)
			}
			total := 0
			for name, slots := range allowed {
				total += slots
				for _, count := range l.LentTo(ident.Node(name)) {
					assert.Equal(t, count.Slots, slots)
				}
			}
			lent, used := l.LentAt("r", now)
			assert.Equal(t, lent, total)
			assert.Assert(t, used <= lent)
		}
	})
}

// TestSlotsOfASilentBorrowerAreReturned states the bound that docs/design/beliefs.md gives for lent slots.
func TestSlotsOfASilentBorrowerAreReturned(t *testing.T) {
	const returnedAfter = 1500 * time.Millisecond
	var l Ledger
	now := time.Unix(100, 0)
	assert.Assert(t, l.Renew(request("w-1", 1), now))
	l.Lend("w-1", "r", 2)
	lent, _ := l.LentAt("r", now.Add(returnedAfter-time.Millisecond))
	assert.Equal(t, lent, 2)
	lent, _ = l.LentAt("r", now.Add(returnedAfter))
	assert.Equal(t, lent, 0)
}
