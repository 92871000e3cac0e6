package exchange

import (
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// CoreConfig configures a Core.
type CoreConfig struct {
	Node      ident.Node
	Zone      ident.Zone
	Table     *dispatch.Table
	Peers     Peers
	Intervals Intervals
}

// Core decides which messages about runners a node sends, and when. It does no I/O and reads no clock, so that the same
// code runs in production and in simulated time. Only ObserveCounts, ObserveStates and ObserveReply are safe for concurrent
// use.
type Core struct {
	config    CoreConfig
	coalescer *coalescer
	// sending are the owners to which a message of counts is in flight.
	sending map[ident.Node]bool
	// answered are the owners that answered the last message of counts. Others are asked to reply with all states.
	answered map[ident.Node]bool
	sequence uint64
	polls    pollPlan
	shares   sharePlan
	// frequent lists the runners that are checked at every tick. All runners are checked from nextFullCheck on.
	frequent      []ident.Runner
	nextFullCheck time.Time
	// caches follows the caches of the owned runners. It is safe for concurrent use.
	caches *cacheFollower
	// members are the peers at the last full check.
	members map[ident.Node]bool
}

// CountMessage is a message of this node's online counts to the owner of runners.
type CountMessage struct {
	Owner   ident.Node
	Message *dispatchpb.OnlineCounts
	counts  map[ident.Runner]int
}

// Share is a message with the states of this node's runners to a peer.
type Share struct {
	Peer    ident.Node
	Message *dispatchpb.RunnerStates
}

// NewCore returns the core of a node that starts at the given time.
func NewCore(config CoreConfig, now time.Time) *Core {
	config.Intervals = config.Intervals.withDefaults()
	return &Core{
		config:    config,
		coalescer: newCoalescer(),
		sending:   map[ident.Node]bool{},
		answered:  map[ident.Node]bool{},
		// After a restart the sequence continues above the previous one.
		sequence: uint64(now.UnixNano()),
		polls:    newPollPlan(config.Intervals),
		shares:   newSharePlan(config.Intervals),
		caches:   newCacheFollower(),
	}
}

// OnlineChanged records a change of this node's online work and reports whether it concerns the owner of the runner, that
// is, another node or one not known yet.
func (c *Core) OnlineChanged(runner ident.Runner, inFlight int, now time.Time) bool {
	owner, known := c.config.Peers.Owner(runner)
	if known && owner == c.config.Node {
		return false
	}
	c.coalescer.changed(runner, owner, inFlight, c.onlineOn(runner, now), now)
	return true
}

// onlineOn returns the online work on a runner by its newest report, or zero without one.
func (c *Core) onlineOn(runner ident.Runner, now time.Time) int {
	view, known := c.config.Table.Runner(runner, now)
	if !known || view.Report == nil {
		return 0
	}
	return view.Report.RunningOnline + view.Report.WaitingOnline
}

// DueCounts returns the messages of counts to send now, ordered by owner. CountsSent must be called for each.
func (c *Core) DueCounts(now time.Time) []CountMessage {
	messages := c.coalescer.take(now, c.otherOwner, func(node ident.Node) bool { return c.sending[node] })
	due := make([]CountMessage, 0, len(messages))
	for _, owner := range slices.Sorted(maps.Keys(messages)) {
		counts := messages[owner]
		c.coalescer.sent(counts, now)
		c.sending[owner] = true
		c.sequence++
		message := c.encodeCounts(counts)
		message.Whole = !c.answered[owner]
		due = append(due, CountMessage{Owner: owner, Message: message, counts: counts})
	}
	return due
}

func (c *Core) encodeCounts(counts map[ident.Runner]int) *dispatchpb.OnlineCounts {
	message := &dispatchpb.OnlineCounts{Node: string(c.config.Node), Sequence: c.sequence}
	for _, runner := range slices.Sorted(maps.Keys(counts)) {
		message.Counts = append(message.Counts, c.encodeCount(runner, counts[runner]))
	}
	return message
}

// CountsSent records whether a message of counts was delivered. A message without a reply counts as not delivered.
func (c *Core) CountsSent(message CountMessage, delivered bool, now time.Time) {
	delete(c.sending, message.Owner)
	if delivered {
		c.answered[message.Owner] = true
		c.coalescer.delivered(message.counts)
		return
	}
	delete(c.answered, message.Owner)
	c.coalescer.failed(message.counts, now)
}

// NextCounts returns the time until DueCounts should be called again.
func (c *Core) NextCounts(now time.Time) time.Duration {
	next, any := c.coalescer.nextDue()
	if !any {
		return idleWait
	}
	return max(minWait, next.Sub(now))
}

// TickInterval returns the interval at which Due should be called: at most a tenth of the poll interval, within its limits,
// so that polls are not much delayed.
func (c *Core) TickInterval() time.Duration {
	const ticksPerPoll = 10
	return min(maxTick, max(minTick, c.config.Intervals.PollOwned/ticksPerPoll))
}

// Due returns the shares to send and the runners to poll for their load. It is called every TickInterval. ShareSent must be
// called for each share and Polled for each runner.
func (c *Core) Due(now time.Time) (shares []Share, polls []ident.Runner) {
	if now.Before(c.nextFullCheck) {
		views := c.config.Table.RunnersOf(c.frequent, now)
		return nil, c.polls.due(views, c.config.Zone, c.owns, now)
	}
	c.nextFullCheck = now.Add(fullCheckInterval)
	views := c.config.Table.Runners(now)
	c.polls.removeUnlisted(views)
	c.removeDepartedPeers(now)
	c.caches.retainOwned(c.owns)
	polls = c.polls.due(views, c.config.Zone, c.owns, now)
	shares = c.sharesDue(views, now)
	c.frequent = c.polls.polledFrequently(views, c.config.Zone, c.owns)
	return shares, polls
}

// removeDepartedPeers makes the counts of peers that are no longer members expire sooner, and removes the record of what was
// shared with them.
func (c *Core) removeDepartedPeers(now time.Time) {
	members := map[ident.Node]bool{}
	for _, peer := range c.config.Peers.Peers() {
		members[peer.Node] = true
	}
	for node := range c.members {
		if !members[node] {
			c.config.Table.ObservePeerGone(node, now)
			c.shares.remove(node)
			delete(c.answered, node)
		}
	}
	c.members = members
}

// Polled records that the poll of a runner ended, with whatever result.
func (c *Core) Polled(runner ident.Runner) { delete(c.polls.polling, runner) }

// sharesDue returns the shares to send now.
func (c *Core) sharesDue(views []dispatch.RunnerView, now time.Time) []Share {
	summaries := c.ownedSummaries(views)
	due := c.shares.due(c.config.Peers.Peers(), c.config.Zone, summaries, now)
	if len(due) == 0 {
		return nil
	}
	message := c.ownedStates(views)
	shares := make([]Share, 0, len(due))
	for _, peer := range due {
		c.shares.sent(peer, summaries, now)
		shares = append(shares, Share{Peer: peer, Message: message})
	}
	return shares
}

// ownedSummaries returns the summaries of the owned runners that have a report.
func (c *Core) ownedSummaries(views []dispatch.RunnerView) map[ident.Runner]summary {
	summaries := map[ident.Runner]summary{}
	for index := range views {
		view := &views[index]
		if own, _ := c.owns(view.ID); own && view.Report != nil {
			summaries[view.ID] = summaryOf(view)
		}
	}
	return summaries
}

// ShareSent records whether a share was delivered. A share without a reply counts as not delivered.
func (c *Core) ShareSent(share Share, delivered bool, now time.Time) {
	if !delivered {
		c.shares.failed(share.Peer, now)
	}
}

// ownedStates encodes the states of the owned runners that have a report.
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

// ObserveCounts records a peer's counts. It is safe for concurrent use. Reply returns the reply.
func (c *Core) ObserveCounts(message *dispatchpb.OnlineCounts, now time.Time) {
	for _, count := range message.GetCounts() {
		c.config.Table.ObservePeer(ident.Node(message.GetNode()), message.GetSequence(), ident.Runner(count.GetRunner()), int(count.GetInFlight()), now)
	}
}

// Reply returns the states of the runners in a peer's counts that changed since they were last sent to the peer, or all of
// them if it asks for that. This makes a separate share unnecessary. Only the reply to the newest message of a peer is
// recorded as shared: the peer has given up on an older message and does not receive its reply, and after a failure of the
// newest one it asks for all states.
func (c *Core) Reply(message *dispatchpb.OnlineCounts, now time.Time) *dispatchpb.RunnerStates {
	peer := ident.Node(message.GetNode())
	newest := c.shares.newest(peer, message.GetSequence())
	reply := &dispatchpb.RunnerStates{Caches: c.cacheChanges(message.GetCounts())}
	sent := map[ident.Runner]summary{}
	for _, count := range message.GetCounts() {
		runner := ident.Runner(count.GetRunner())
		view, known := c.config.Table.Runner(runner, now)
		if !known || view.Report == nil || (!message.GetWhole() && !c.shares.worthReplying(peer, runner, summaryOf(&view), now)) {
			continue
		}
		reply.States = append(reply.States, encodeState(&view))
		if own, _ := c.owns(runner); own {
			sent[runner] = summaryOf(&view)
		}
	}
	if newest {
		c.shares.sent(peer, sent, now)
	}
	return reply
}

// ObserveStates records the states of runners received from their owner. It is safe for concurrent use.
func (c *Core) ObserveStates(states *dispatchpb.RunnerStates, now time.Time) {
	for _, state := range states.GetStates() {
		c.config.Table.ObserveShared(ident.Runner(state.GetRunner()), decodeState(state, now), now)
	}
}

// owns reports whether this node owns the runner, and whether no owner is known.
func (c *Core) owns(runner ident.Runner) (own, ownerless bool) {
	owner, known := c.config.Peers.Owner(runner)
	return known && owner == c.config.Node, !known
}

// otherOwner returns the owner of the runner, or false if that is this node or unknown.
func (c *Core) otherOwner(runner ident.Runner) (ident.Node, bool) {
	owner, known := c.config.Peers.Owner(runner)
	return owner, known && owner != c.config.Node
}
