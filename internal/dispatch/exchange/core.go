package exchange

import (
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// CoreConfig is what a Core needs.
type CoreConfig struct {
	Node      ident.Node
	Zone      ident.Zone
	Table     *dispatch.Table
	Peers     Peers
	Intervals Intervals
}

// Core decides which messages one node sends about runners, and when. It does no I/O and reads no clock, so that the
// same code runs in service and in simulated time. It is not safe for concurrent use, but for Counted and Take.
type Core struct {
	config    CoreConfig
	coalescer *coalescer
	sending   map[ident.Node]bool
	// answered are the owners that answered the last message of counts. Others are asked for a whole answer.
	answered map[ident.Node]bool
	sequence uint64
	polls    pollPlan
	shares   sharePlan
	// often lists the runners that are looked at every Tick; all are from wholeAt on.
	often   []ident.Runner
	wholeAt time.Time
	// caches follows the caches of the owned runners. It is safe for concurrent use.
	caches *cacheFollower
	// present are the peers that took part at the last whole look.
	present map[ident.Node]bool
}

// Tell is one message of counts to an owner.
type Tell struct {
	Owner   ident.Node
	Message *dispatchpb.OnlineCounts
	counts  map[ident.Runner]int
}

// Share is one message about this node's runners to a peer.
type Share struct {
	Peer    ident.Node
	Message *dispatchpb.RunnerStates
}

// NewCore returns the core of a node that starts now.
func NewCore(config CoreConfig, now time.Time) *Core {
	config.Intervals = config.Intervals.withDefaults()
	return &Core{
		config:    config,
		coalescer: newCoalescer(),
		sending:   map[ident.Node]bool{},
		answered:  map[ident.Node]bool{},
		// A later run of this node continues above the sequence of an earlier one.
		sequence: uint64(now.UnixNano()),
		polls:    newPollPlan(config.Intervals),
		shares:   newSharePlan(config.Intervals),
		caches:   newCacheFollower(),
	}
}

// OnlineChanged notes a change of this node's online work and reports whether another node is to be told.
func (c *Core) OnlineChanged(runner ident.Runner, inFlight int, now time.Time) bool {
	owner, known := c.config.Peers.Owner(runner)
	if known && owner == c.config.Node {
		return false
	}
	c.coalescer.changed(runner, owner, inFlight, c.onlineOn(runner, now), now)
	return true
}

// onlineOn returns the online work on a runner by the newest view of it, zero without any.
func (c *Core) onlineOn(runner ident.Runner, now time.Time) int {
	view, known := c.config.Table.Runner(runner, now)
	if !known || view.Report == nil {
		return 0
	}
	return view.Report.RunningOnline + view.Report.WaitingOnline
}

// Tells returns the messages of counts to send now, in the order of their owners. Each must be followed by Told.
func (c *Core) Tells(now time.Time) []Tell {
	messages := c.coalescer.take(now, c.otherOwner, func(node ident.Node) bool { return c.sending[node] })
	tells := make([]Tell, 0, len(messages))
	for _, owner := range slices.Sorted(maps.Keys(messages)) {
		counts := messages[owner]
		c.coalescer.sent(counts, now)
		c.sending[owner] = true
		c.sequence++
		message := c.encodeCounts(counts)
		message.Whole = !c.answered[owner]
		tells = append(tells, Tell{Owner: owner, Message: message, counts: counts})
	}
	return tells
}

func (c *Core) encodeCounts(counts map[ident.Runner]int) *dispatchpb.OnlineCounts {
	message := &dispatchpb.OnlineCounts{Node: string(c.config.Node), Sequence: c.sequence}
	for _, runner := range slices.Sorted(maps.Keys(counts)) {
		message.Counts = append(message.Counts, c.encodeCount(runner, counts[runner]))
	}
	return message
}

// Told takes in that a message of counts arrived, or that it is not known to have.
func (c *Core) Told(tell Tell, delivered bool, now time.Time) {
	delete(c.sending, tell.Owner)
	if delivered {
		c.answered[tell.Owner] = true
		c.coalescer.delivered(tell.counts)
		return
	}
	delete(c.answered, tell.Owner)
	c.coalescer.failed(tell.counts, now)
}

// NextTell returns the time until Tells should be called again.
func (c *Core) NextTell(now time.Time) time.Duration {
	next, any := c.coalescer.nextDue()
	if !any {
		return idleWait
	}
	return max(shortestWait, next.Sub(now))
}

// Tick returns how often Look should be called: often enough that no poll is late by more than a tenth.
func (c *Core) Tick() time.Duration {
	const part = 10
	return min(longestTick, max(PlanTick, c.config.Intervals.PollOwned/part))
}

// Look returns the shares to send and the runners to ask for their load. Call it every Tick. Each share must be
// followed by Shared, each runner asked by Polled.
func (c *Core) Look(now time.Time) (shares []Share, polls []ident.Runner) {
	if now.Before(c.wholeAt) {
		views := c.config.Table.RunnersOf(c.often, now)
		return nil, c.polls.due(views, c.config.Zone, c.owns, now)
	}
	c.wholeAt = now.Add(wholeTick)
	views := c.config.Table.Runners(now)
	c.polls.forget(views)
	c.forgetGonePeers(now)
	c.caches.keep(c.owns)
	polls = c.polls.due(views, c.config.Zone, c.owns, now)
	shares = c.sharesDue(views, now)
	c.often = c.polls.polledOften(views, c.config.Zone, c.owns)
	return shares, polls
}

// forgetGonePeers lets the counts of peers that take part no more run out sooner, and forgets what they were told.
func (c *Core) forgetGonePeers(now time.Time) {
	present := map[ident.Node]bool{}
	for _, peer := range c.config.Peers.Peers() {
		present[peer.Node] = true
	}
	for node := range c.present {
		if !present[node] {
			c.config.Table.ObservePeerGone(node, now)
			c.shares.forget(node)
			delete(c.answered, node)
		}
	}
	c.present = present
}

// Polled takes in that a runner was asked, whatever came of it.
func (c *Core) Polled(runner ident.Runner) { delete(c.polls.polling, runner) }

func (c *Core) sharesDue(views []dispatch.RunnerView, now time.Time) []Share {
	gists := c.ownedGists(views)
	due := c.shares.due(c.config.Peers.Peers(), c.config.Zone, gists, now)
	if len(due) == 0 {
		return nil
	}
	message := c.ownedStates(views)
	shares := make([]Share, 0, len(due))
	for _, peer := range due {
		c.shares.told(peer, gists, now)
		shares = append(shares, Share{Peer: peer, Message: message})
	}
	return shares
}

func (c *Core) ownedGists(views []dispatch.RunnerView) map[ident.Runner]gist {
	gists := map[ident.Runner]gist{}
	for index := range views {
		view := &views[index]
		if own, _ := c.owns(view.ID); own && view.Report != nil {
			gists[view.ID] = gistOf(view)
		}
	}
	return gists
}

// Shared takes in that a share arrived, or that it is not known to have.
func (c *Core) Shared(share Share, delivered bool, now time.Time) {
	if !delivered {
		c.shares.failed(share.Peer, now)
	}
}

func (c *Core) ownedStates(views []dispatch.RunnerView) *dispatchpb.RunnerStates {
	message := &dispatchpb.RunnerStates{}
	for index := range views {
		view := &views[index]
		if own, _ := c.owns(view.ID); own && view.Report != nil {
			message.States = append(message.States, encodeState(view))
		}
	}
	return message
}

// Counted takes a peer's counts. It is safe for concurrent use; Reply answers.
func (c *Core) Counted(message *dispatchpb.OnlineCounts, now time.Time) {
	for _, count := range message.GetCounts() {
		c.config.Table.ObservePeer(ident.Node(message.GetNode()), message.GetSequence(), ident.Runner(count.GetRunner()), int(count.GetInFlight()), now)
	}
}

// Reply returns what is news to the peer of the runners it counted on, or all if it asks, which spares it a share. Only the reply to a
// peer's newest message is noted as told: whoever sent an older one has given it up and gets no reply, and after a newest one
// that failed the peer asks for all.
func (c *Core) Reply(message *dispatchpb.OnlineCounts, now time.Time) *dispatchpb.RunnerStates {
	peer := ident.Node(message.GetNode())
	newest := c.shares.newest(peer, message.GetSequence())
	reply := &dispatchpb.RunnerStates{Caches: c.cacheChanges(message.GetCounts())}
	told := map[ident.Runner]gist{}
	for _, count := range message.GetCounts() {
		runner := ident.Runner(count.GetRunner())
		view, known := c.config.Table.Runner(runner, now)
		if !known || view.Report == nil || (!message.GetWhole() && !c.shares.news(peer, runner, gistOf(&view), now)) {
			continue
		}
		reply.States = append(reply.States, encodeState(&view))
		if own, _ := c.owns(runner); own {
			told[runner] = gistOf(&view)
		}
	}
	if newest {
		c.shares.told(peer, told, now)
	}
	return reply
}

// Take takes the states of runners from their owner. It is safe for concurrent use.
func (c *Core) Take(states *dispatchpb.RunnerStates, now time.Time) {
	for _, state := range states.GetStates() {
		c.config.Table.ObserveShared(ident.Runner(state.GetRunner()), decodeState(state, now), now)
	}
}

func (c *Core) owns(runner ident.Runner) (own, ownerless bool) {
	owner, known := c.config.Peers.Owner(runner)
	return known && owner == c.config.Node, !known
}

func (c *Core) otherOwner(runner ident.Runner) (ident.Node, bool) {
	owner, known := c.config.Peers.Owner(runner)
	return owner, known && owner != c.config.Node
}
