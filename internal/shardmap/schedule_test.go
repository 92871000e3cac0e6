package shardmap

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
)

var testTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

var fourPeers = []Peer{{"near-1", "near"}, {"near-2", "near"}, {"far-1", "far"}, {"far-2", "far"}}

func choosePeer(t *testing.T, s *schedule, now time.Time, peers []Peer) ident.Node {
	t.Helper()
	peer, _, found := s.choose(now, peers)
	assert.Assert(t, found)
	return peer
}

func TestPeerOfSameZoneIsPolledUntilItFails(t *testing.T) {
	s := newSchedule("self", "near", Intervals{})
	first := choosePeer(t, s, testTime, fourPeers)
	assert.Equal(t, first[:4], ident.Node("near"))
	s.recordReply(testTime, first, version{7, 3}, true, 0)
	_, known, _ := s.choose(testTime, fourPeers)
	assert.Equal(t, known, version{7, 3})

	s.recordFailure(testTime, first, 0)
	assert.Equal(t, s.nextPoll, testTime.Add(DefaultRetry))
	second, known, _ := s.choose(testTime, fourPeers)
	assert.Equal(t, second[:4], ident.Node("near"))
	assert.Assert(t, second != first)
	assert.Equal(t, known, version{}, "versions of one server must not be sent to another")

	s.recordFailure(testTime, second, 0)
	assert.Equal(t, s.nextPoll, testTime.Add(2*DefaultRetry))
	assert.Equal(t, choosePeer(t, s, testTime, fourPeers)[:3], ident.Node("far"))
	assert.Equal(t, choosePeer(t, s, testTime.Add(DefaultPeerBackoff), fourPeers), first)
	_, _, found := s.choose(testTime, []Peer{{"self", "near"}})
	assert.Assert(t, !found)
}

func TestMissesPollImmediatelyThenBackOff(t *testing.T) {
	s := newSchedule("self", "near", Intervals{})
	now, unchanged := testTime, version{1, 1}
	s.startPoll()
	s.recordReply(now, "near-1", unchanged, true, 0)
	assert.Equal(t, s.nextPoll, now.Add(DefaultPoll))
	now = now.Add(time.Second)
	s.recordMiss()
	assert.Assert(t, !s.nextPoll.After(now), "a miss after an idle period must trigger a poll immediately")
	var waits []time.Duration
	for range 8 {
		s.startPoll()
		s.recordReply(now, "near-1", unchanged, false, 0)
		s.recordMiss()
		waits = append(waits, s.nextPoll.Sub(now))
		now = s.nextPoll
	}
	for index := range waits {
		assert.Equal(t, waits[index], min(DefaultMissBackoff<<(index+1), DefaultPoll))
	}
	s.startPoll()
	s.recordMiss()
	s.recordReply(now, "near-1", version{1, 2}, true, 0)
	assert.Equal(t, s.nextPoll, now.Add(DefaultMissBackoff), "a miss during a poll must trigger another poll")
}

// TestReaderFollowsServers checks that a reader polling several servers in any order, some of them lagging, never reverts to
// an older replica set, and has all routes of a server after that server's reply.
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
				// The server restarts with a new identity.
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
