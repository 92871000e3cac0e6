package scale

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/dispatch/exchange"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// segmentOverhead is what a message costs below TLS, in bytes: a segment's IP and TCP headers with timestamps (52) and
	// half of a segment that only acknowledges.
	segmentOverhead = 78
	// callTimeout bounds a call between nodes.
	callTimeout = 2 * time.Second
)

// Services by which traffic is accounted. A service is the drpc method's, but for membership and engines.
const (
	serviceMembership = "membership"
	serviceOnline     = "online counts"
	serviceShare      = "shares"
	serviceLeaving    = "leaving"
	serviceEngine     = "engine"
)

// account counts the messages and bytes of one service on one node, drpc and TLS included.
type account struct{ messagesOut, bytesOut, bytesIn int64 }

func (n *controlNode) account(service string) *account {
	counted, known := n.accounts[service]
	if !known {
		counted = &account{}
		n.accounts[service] = counted
	}
	return counted
}

// call carries a request to a peer and its answer back, by their wire forms. done gets a nil answer if the call failed,
// at its time limit at the latest.
func call[Request, Answer proto.Message](
	f *controlFleet, from *controlNode, peer ident.Node, service string, request Request,
	serve func(*controlNode, Request) Answer, done func(answer Answer, delivered bool),
) {
	life := from.life
	var none Answer
	fail := func() {
		f.fleet.schedule(callTimeout, func() {
			if from.alive(life) {
				done(none, false)
			}
		})
	}
	to, known := f.nodes[peer]
	if !known {
		fail()
		return
	}
	carried := f.carry(from, to, service, request)
	arrives, lost := f.travel(from, to)
	if lost {
		fail()
		return
	}
	f.fleet.schedule(arrives, func() {
		if !to.hollow.Up {
			fail()
			return
		}
		answer := f.carry(to, from, service, serve(to, carried.(Request)))
		returns, lost := f.travel(to, from)
		if lost {
			fail()
			return
		}
		f.fleet.schedule(returns, func() {
			if from.alive(life) {
				done(answer.(Answer), true)
			}
		})
	})
}

// travel returns a message's time on its way, or that it is lost.
func (f *controlFleet) travel(from, to *controlNode) (time.Duration, bool) {
	link := f.network(from.hollow.Self, to.hollow.Self)
	if link.Cut || f.fleet.random.Float64() < link.Loss {
		return 0, true
	}
	return link.Delay + time.Duration(f.fleet.random.Int64N(int64(link.Delay)/2+1)), false
}

// carry accounts for a message and returns it as it arrives.
func (f *controlFleet) carry(from, to *controlNode, service string, message proto.Message) proto.Message {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
	received := message.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(encoded, received); err != nil {
		panic(fmt.Sprintf("unmarshal: %v", err))
	}
	bytes := int64(len(encoded)) + callOverhead
	from.account(service).messagesOut++
	from.account(service).bytesOut += bytes
	to.account(service).bytesIn += bytes
	return received
}

// onlineChanged wakes the telling of owners, as the exchange of a real node does.
func (f *controlFleet) onlineChanged(node *controlNode, runner ident.Runner, inFlight int) {
	if node.exchange.OnlineChanged(runner, inFlight, f.fleet.now) {
		f.tellAfter(node, 0)
	}
}

// tellAfter looks for counts to tell after a pause, unless a look is due earlier.
func (f *controlFleet) tellAfter(node *controlNode, pause time.Duration) {
	at := f.fleet.now.Add(pause)
	if node.tellAt.After(f.fleet.now) && !at.Before(node.tellAt) {
		return
	}
	node.tellAt = at
	life := node.life
	f.fleet.schedule(pause, func() {
		if node.alive(life) && node.tellAt.Equal(at) {
			node.tellAt = time.Time{}
			f.tell(node)
		}
	})
}

func (f *controlFleet) tell(node *controlNode) {
	for _, tell := range node.exchange.Tells(f.fleet.now) {
		call(f, node, tell.Owner, serviceOnline, tell.Message,
			func(owner *controlNode, message *dispatchpb.OnlineCounts) *dispatchpb.RunnerStates {
				owner.exchange.Counted(message, f.fleet.now)
				return owner.exchange.Reply(message, f.fleet.now)
			},
			func(states *dispatchpb.RunnerStates, delivered bool) {
				node.exchange.Told(tell, delivered, f.fleet.now)
				if delivered {
					node.exchange.Take(states, f.fleet.now)
				}
			})
	}
	f.tellAfter(node, node.exchange.NextTell(f.fleet.now))
}

// look sends the shares and polls that are due.
func (f *controlFleet) look(node *controlNode) {
	shares, polls := node.exchange.Look(f.fleet.now)
	for _, share := range shares {
		f.share(node, share)
	}
	for _, runner := range polls {
		f.poll(node, runner)
	}
}

func (f *controlFleet) share(node *controlNode, share exchange.Share) {
	call(f, node, share.Peer, serviceShare, share.Message,
		func(peer *controlNode, states *dispatchpb.RunnerStates) *dispatchpb.Received {
			peer.exchange.Take(states, f.fleet.now)
			return &dispatchpb.Received{}
		},
		func(_ *dispatchpb.Received, delivered bool) { node.exchange.Shared(share, delivered, f.fleet.now) })
}

// leavingLearned tells every peer, with the repeats of a real node.
func (f *controlFleet) leavingLearned(node *controlNode, runner ident.Runner) {
	message := &dispatchpb.LeavingRunners{Runners: []string{string(runner)}}
	for _, peer := range (nodePeers{f, node}).Peers() {
		f.tellLeaving(node, peer.Node, message, 0)
	}
}

func (f *controlFleet) tellLeaving(node *controlNode, peer ident.Node, message *dispatchpb.LeavingRunners, try int) {
	call(f, node, peer, serviceLeaving, message,
		func(peer *controlNode, news *dispatchpb.LeavingRunners) *dispatchpb.Received {
			for _, runner := range news.GetRunners() {
				peer.table.ObserveLeaving(ident.Runner(runner), false, f.fleet.now)
			}
			return &dispatchpb.Received{}
		},
		func(_ *dispatchpb.Received, delivered bool) {
			if delivered || try >= len(exchange.LeavingPauses) {
				return
			}
			f.fleet.schedule(exchange.LeavingPauses[try], func() { f.tellLeaving(node, peer, message, try+1) })
		})
}
