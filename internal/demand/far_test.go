package demand

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestZonesAreAskedInTurn has idle workers in two other zones, five and one, all asked at the same moment when the node started. The larger
// zone is asked at least once a second, the other one as often as its worker may be, and no more than four calls a second are made.
func TestZonesAreAskedInTurn(t *testing.T) {
	online := map[string]Owned{}
	teller := &Teller{workers: map[string]*correspondent{}}
	began := time.Unix(100, 0)
	for index := range 6 {
		zone := ident.Zone("big")
		if index == 5 {
			zone = "small"
		}
		address := fmt.Sprint("w", index)
		online[address] = Owned{Far: true, Zone: zone}
		teller.workers[address] = &correspondent{lastAt: began}
	}
	heard := map[ident.Zone]time.Time{}
	calls := 0
	const lasts = 10 * time.Second
	for at := began; at.Before(began.Add(lasts)); at = at.Add(RefreshEvery) {
		next := teller.nextFar(online, idleFarEvery(online), at)
		if next == "" {
			continue
		}
		calls++
		teller.workers[next].lastAt = at
		zone := online[next].Zone
		if before := heard[zone]; !before.IsZero() && zone == "big" {
			assert.Assert(t, at.Sub(before) <= time.Second, "%v was not asked for %v", zone, at.Sub(before))
		}
		heard[zone] = at
	}
	assert.Assert(t, float64(calls) <= farCallsEach*lasts.Seconds()+1, "%d calls", calls)
	assert.Assert(t, calls >= 30, "%d calls", calls)
}

// TestZoneInDoubtIsAskedAtOnceAndThenInTurn has a zone of three workers fall silent, one of which noticed it.
func TestZoneInDoubtIsAskedAtOnceAndThenInTurn(t *testing.T) {
	now := time.Unix(100, 0)
	online := map[string]Owned{}
	teller := &Teller{workers: map[string]*correspondent{}}
	for index := range 3 {
		address := fmt.Sprint("w", index)
		online[address] = Owned{Far: true, Zone: "z", Doubted: now}
		teller.workers[address] = &correspondent{lastAt: now.Add(-time.Duration(index+1) * time.Second)}
		assert.Assert(t, teller.workers[address].doubted(now), "%s was not asked since", address)
		teller.workers[address].lastAt = now.Add(time.Duration(index) * time.Millisecond)
		assert.Assert(t, !teller.workers[address].doubted(now))
	}
	many := map[string]Owned{}
	for index := range 10 {
		address := fmt.Sprint("m", index)
		many[address] = Owned{Far: true, Zone: ident.Zone(address), Doubted: now}
		teller.workers[address] = &correspondent{lastAt: now}
	}
	assert.Assert(t, !teller.probed(many, now.Add(time.Second))["m0"], "ten zones are asked more than eight times a second")
	assert.Assert(t, teller.probed(many, now.Add(1250*time.Millisecond))["m0"])
	for round := range 6 {
		now = now.Add(probeEvery + 10*time.Millisecond)
		probed := teller.probed(online, now)
		assert.DeepEqual(t, probed, map[string]bool{fmt.Sprint("w", round%3): true})
		teller.workers[fmt.Sprint("w", round%3)].lastAt = now
		assert.DeepEqual(t, teller.probed(online, now.Add(probeEvery/2)), map[string]bool{fmt.Sprint("w", (round+1)%3): false})
	}
}
