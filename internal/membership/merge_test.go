package membership

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
)

// drawRecord draws a valid record: fields that only the node itself sets depend on its incarnation alone.
func drawRecord(t *rapid.T) record {
	incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	return record{
		node: "a", zone: "z", peerAddress: "10.0.0.1:1", incarnation: incarnation, started: 1, leaving: incarnation%2 == 0,
		health:   health(rapid.IntRange(0, 2).Draw(t, "health")),
		revision: int64(rapid.IntRange(0, 3).Draw(t, "revision")),
	}
}

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		assert.Equal(t, merge(a, b), merge(b, a))
		assert.Equal(t, merge(a, merge(b, c)), merge(merge(a, b), c))
		assert.Equal(t, merge(a, a), a)
	})
}

func testCore() *Core {
	now := time.Unix(1000, 0)
	self := Self{Node: "self", Zone: "z", PeerAddress: "10.0.0.2:1", Started: now}
	return NewCore(DefaultConfig(), self, nil, rand.New(rand.NewPCG(1, 1)), now)
}

// Nodes that have received the same records about a member store the same record, never one of an older incarnation.
func TestOldIncarnationNeverOverridesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := testCore()
		now := time.Unix(1000, 0)
		alive := record{node: "a", zone: "z", peerAddress: "10.0.0.1:1", incarnation: 1}
		core.mergeRecord(alive, now)
		highest, newest := alive, alive.incarnation
		for _, received := range rapid.SliceOfN(rapid.Custom(drawRecord), 1, 12).Draw(t, "records") {
			before := core.members["a"].record
			core.Step(Message{kind: KindAck, from: "b", fromZone: "z", members: []record{received}}, now)
			after := core.members["a"].record
			assert.Assert(t, after.incarnation >= before.incarnation)
			assert.Assert(t, after.incarnation > before.incarnation || after.health >= before.health)
			newest = max(newest, received.incarnation)
			highest = merge(highest, received)
			assert.Equal(t, after.incarnation, newest)
		}
		assert.Equal(t, core.members["a"].record, highest)
	})
}

func TestRefuteRecordOfEarlierRun(t *testing.T) {
	core := testCore()
	earlier := core.self
	earlier.incarnation += 1000
	earlier.health = healthDead
	core.Step(Message{kind: KindAck, from: "b", fromZone: "z", members: []record{earlier}}, time.Unix(1000, 0))
	assert.Assert(t, core.self.incarnation > earlier.incarnation)
	assert.Equal(t, core.self.health, healthAlive)
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := Message{
			kind: Kind(rapid.IntRange(1, int(KindRecords)).Draw(t, "kind")), from: "a", fromZone: "z", fromAddress: "10.0.0.1:1",
			sequence: rapid.Uint64().Draw(t, "sequence"), target: "b", zoneSet: 7, fleetHash: 8, contactAges: []byte{1, 2},
			members:   rapid.SliceOfN(rapid.Custom(drawRecord), 1, 3).Draw(t, "members"),
			revisions: []revision{{node: "c", incarnation: 3, revision: 4}},
			digests:   []zoneDigest{{zone: "z", hash: 5}},
			summaries: []summary{{node: "d", incarnation: 6, health: healthDead, revision: 7}},
			wants:     []ident.Node{"e"},
		}
		encoded, err := proto.Marshal(message.Encode())
		assert.NilError(t, err)
		received := new(membershippb.Message)
		assert.NilError(t, proto.Unmarshal(encoded, received))
		decoded, err := Decode(received)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(decoded, message))
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{8, 1, 18, 1, 'a', 26, 1, 'z'})
	f.Fuzz(func(t *testing.T, data []byte) {
		received := new(membershippb.Message)
		if proto.Unmarshal(data, received) != nil {
			return
		}
		message, err := Decode(received)
		if err != nil {
			return
		}
		core := testCore()
		core.Step(message, time.Unix(1000, 0))
		core.Tick(time.Unix(1001, 0))
	})
}

// A pause of the process restarts the suspicion timeout, since messages received during the pause are still unread.
func TestPauseRestartsSuspicionTimeout(t *testing.T) {
	core := testCore()
	now := time.Unix(1000, 0)
	core.mergeRecord(record{node: "a", zone: "z", peerAddress: "10.0.0.1:1", incarnation: 1}, now)
	for core.members["a"].health == healthAlive {
		now = now.Add(200 * time.Millisecond)
		core.Tick(now)
	}
	core.Tick(now.Add(time.Hour))
	assert.Equal(t, core.members["a"].health, healthSuspect)
}
