package shardmap

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

var fourPeers = []Peer{{"near-1", "near"}, {"near-2", "near"}, {"far-1", "far"}, {"far-2", "far"}}

func chosen(t *testing.T, p *plan, now time.Time, peers []Peer) ident.Node {
	t.Helper()
	peer, _, found := p.choose(now, peers)
	assert.Assert(t, found)
	return peer
}

func TestPeerOfTheZoneIsAskedUntilItFails(t *testing.T) {
	p := newPlan("self", "near", Intervals{})
	first := chosen(t, p, noon, fourPeers)
	assert.Equal(t, first[:4], ident.Node("near"))
	p.answered(noon, first, version{7, 3}, true, 0)
	_, known, _ := p.choose(noon, fourPeers)
	assert.Equal(t, known, version{7, 3})

	p.failed(noon, first, 0)
	assert.Equal(t, p.due, noon.Add(DefaultRetry))
	second, known, _ := p.choose(noon, fourPeers)
	assert.Equal(t, second[:4], ident.Node("near"))
	assert.Assert(t, second != first)
	assert.Equal(t, known, version{}, "what one server numbered means nothing to another")

	p.failed(noon, second, 0)
	assert.Equal(t, p.due, noon.Add(2*DefaultRetry))
	assert.Equal(t, chosen(t, p, noon, fourPeers)[:3], ident.Node("far"))
	assert.Equal(t, chosen(t, p, noon.Add(DefaultAvoid), fourPeers), first)
	_, _, found := p.choose(noon, []Peer{{"self", "near"}})
	assert.Assert(t, !found)
}

func TestMissesAskAtOnceAndEverMoreSlowlyInVain(t *testing.T) {
	p := newPlan("self", "near", Intervals{})
	now, unchanged := noon, version{1, 1}
	p.begin()
	p.answered(now, "near-1", unchanged, true, 0)
	assert.Equal(t, p.due, now.Add(DefaultPoll))
	now = now.Add(time.Second)
	p.miss()
	assert.Assert(t, !p.due.After(now), "a miss after a quiet time is asked about at once")
	var waits []time.Duration
	for range 8 {
		p.begin()
		p.answered(now, "near-1", unchanged, false, 0)
		p.miss()
		waits = append(waits, p.due.Sub(now))
		now = p.due
	}
	for index := range waits {
		assert.Equal(t, waits[index], min(DefaultPause<<(index+1), DefaultPoll))
	}
	p.begin()
	p.miss()
	p.answered(now, "near-1", version{1, 2}, true, 0)
	assert.Equal(t, p.due, now.Add(DefaultPause), "a miss during a question is asked about after it")
}

// A reader that follows any servers in any order, some of them lagging, never goes back to an older set, and knows all
// that a server knows after that server's answer.
func TestReaderFollowsServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers, shards = 3, 4
		sets := map[ident.Shard][]Route{}
		histories := make([]*history, servers)
		seen := make([]map[ident.Shard]Route, servers)
		for index := range histories {
			histories[index] = newHistory(uint64(index) + 1)
			seen[index] = map[ident.Shard]Route{}
		}
		read := table{routes: map[ident.Shard]Route{}}
		var known version
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			server := rapid.IntRange(0, servers-1).Draw(t, "server")
			shard := ident.Shard(rapid.IntRange(0, shards-1).Draw(t, "shard"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision := int64(len(sets[shard]) + 1)
				members := []ident.Node{ident.Node(fmt.Sprint("n", revision)), ident.Node(fmt.Sprint("n", revision+1))}
				sets[shard] = append(sets[shard], Route{Shard: shard, Revision: revision, Members: members})
			case 1:
				if len(sets[shard]) > 0 {
					newest := sets[shard][len(sets[shard])-1]
					newest.Leader = newest.Members[rapid.IntRange(0, 1).Draw(t, "leader")]
					seen[server][shard] = newest
				}
			case 2:
				// The server starts anew.
				histories[server] = newHistory(histories[server].version.source + servers)
			default:
				var now []Route
				for _, route := range seen[server] {
					now = append(now, route)
				}
				histories[server].observe(now)
				before := map[ident.Shard]Route{}
				for id, route := range read.routes {
					before[id] = route
				}
				read.merge(histories[server].since(known))
				known = histories[server].version
				for id, route := range seen[server] {
					if read.routes[id].Revision < max(route.Revision, before[id].Revision) {
						t.Fatalf("shard %d: read revision %d, server has %d, before %d", id, read.routes[id].Revision, route.Revision, before[id].Revision)
					}
					if route.Revision >= before[id].Revision && read.routes[id].Leader != route.Leader {
						t.Fatalf("shard %d: leader %q, server knows %q", id, read.routes[id].Leader, route.Leader)
					}
				}
			}
		}
	})
}
