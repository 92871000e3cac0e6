// Package exchange keeps the runner tables of all nodes up to date: it polls the load and the prefix cache changes of
// runners, sends counts of online requests to the owners of runners, shares the state of runners from their owners to all
// nodes, and notifies all nodes that a runner is leaving.
//
// The number of messages grows with traffic, not with the square of the number of nodes: the reply to a count carries the
// owner's view of the runners that the sender uses, and shares to all nodes are rare.
package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// Peer is another node.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
}

// Peers provides the ownership of runners and the list of other nodes. Implementations are safe for concurrent use.
type Peers interface {
	// Owner returns the node that owns a runner, which may be this one, or false if none is known.
	Owner(runner ident.Runner) (ident.Node, bool)
	// Peers returns the live nodes other than this one.
	Peers() []Peer
}

// Intervals are the periods of the exchange. Zero values select the defaults.
type Intervals struct {
	// PollOwned is the interval of polls of a runner that this node owns, or that is in its zone and has no known owner.
	PollOwned time.Duration
	// ShareNear and ShareFar are the minimum times between shares of a changed load to a peer in the same and in another
	// zone. Other changes are shared without this delay.
	ShareNear, ShareFar time.Duration
	// RefreshNear and RefreshFar are the times after which an unchanged state is shared again.
	RefreshNear, RefreshFar time.Duration
	// StaleNear and StaleFar are the ages of a report, for the same and for other zones, at which the runner is polled
	// directly, because its owner has apparently failed.
	StaleNear, StaleFar time.Duration
}

// Defaults of Intervals.
const (
	defaultPollOwned   = 250 * time.Millisecond
	defaultShareNear   = 5 * time.Second
	defaultShareFar    = time.Minute
	defaultRefreshNear = 30 * time.Second
	defaultRefreshFar  = 10 * time.Minute
	defaultStaleNear   = 75 * time.Second
	defaultStaleFar    = 25 * time.Minute
)

func (i Intervals) withDefaults() Intervals {
	fill := func(value *time.Duration, byDefault time.Duration) {
		if *value <= 0 {
			*value = byDefault
		}
	}
	fill(&i.PollOwned, defaultPollOwned)
	fill(&i.ShareNear, defaultShareNear)
	fill(&i.ShareFar, defaultShareFar)
	fill(&i.RefreshNear, defaultRefreshNear)
	fill(&i.RefreshFar, defaultRefreshFar)
	fill(&i.StaleNear, defaultStaleNear)
	fill(&i.StaleFar, defaultStaleFar)
	return i
}

// Config configures an Exchange.
type Config struct {
	Node    ident.Node
	Zone    ident.Zone
	Table   *dispatch.Table
	Engines dispatch.Engines
	Peers   Peers
	// Dialer connects to peers; nil means that there are none.
	Dialer    transport.Dialer
	Intervals Intervals
	// Now is the clock; nil means time.Now.
	Now        func() time.Time
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
}

// Exchange runs the exchange of one node and serves the calls of other nodes.
type Exchange struct {
	config  Config
	metrics *metrics
	tomb    tomb.Tomb
	// background runs goroutines started from outside the tomb.
	background *dispatch.Background
	wake       chan struct{}

	mutex sync.Mutex
	core  *Core
}

// callTimeout limits one call to a peer.
const callTimeout = 2 * time.Second

// New returns an exchange and registers it with the table. Start starts it.
func New(config Config) *Exchange {
	if config.Now == nil {
		config.Now = time.Now
	}
	created := &Exchange{
		config:     config,
		background: dispatch.NewBackground(),
		metrics:    newMetrics(config.Registerer),
		wake:       make(chan struct{}, 1),
		core: NewCore(CoreConfig{
			Node: config.Node, Zone: config.Zone, Table: config.Table, Peers: config.Peers, Intervals: config.Intervals,
		}, config.Now()),
	}
	config.Table.OnOnlineChange(created.onlineChanged)
	config.Table.OnLeaving(created.notifyLeaving)
	return created
}

// Start starts polling and sending.
func (e *Exchange) Start() {
	e.tomb.Go(e.countLoop)
	e.tomb.Go(e.periodicLoop)
}

// Stop stops the exchange and waits for its goroutines.
func (e *Exchange) Stop() error {
	e.tomb.Kill(nil)
	err := e.tomb.Wait()
	return errors.Join(err, e.background.Close())
}

// onlineChanged records a change of this node's online work and wakes countLoop, so that a rise is sent after the delay of
// one channel operation.
func (e *Exchange) onlineChanged(runner ident.Runner, inFlight int) {
	e.mutex.Lock()
	concernsOwner := e.core.OnlineChanged(runner, inFlight, e.config.Now())
	e.mutex.Unlock()
	if !concernsOwner {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// countLoop sends the messages of counts that are due.
func (e *Exchange) countLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-e.wake:
		case <-timer.C:
		}
		timer.Reset(e.sendDueCounts())
	}
}

// idleWait is how long countLoop waits when nothing is due.
const idleWait = time.Second

// minWait prevents a busy loop while a message to a slow owner is in flight.
const minWait = 5 * time.Millisecond

// sendDueCounts sends the messages that are due and returns the time until the next check.
func (e *Exchange) sendDueCounts() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.config.Now()
	for _, message := range e.core.DueCounts(now) {
		e.tomb.Go(func() error {
			e.sendCounts(message)
			return nil
		})
	}
	return e.core.NextCounts(now)
}

// sendCounts sends one message of counts and records the owner's reply.
func (e *Exchange) sendCounts(message CountMessage) {
	e.metrics.sent("online", message.Message)
	states, err := e.callOnline(message.Owner, message.Message)
	e.mutex.Lock()
	e.core.CountsSent(message, err == nil, e.config.Now())
	e.mutex.Unlock()
	if err != nil {
		event.PeerHintFailed.Log(e.config.Logger).Err(err).Str("peer", string(message.Owner)).Send()
		return
	}
	e.core.ObserveReply(message, states, e.config.Now())
}

func (e *Exchange) callOnline(owner ident.Node, message *dispatchpb.OnlineCounts) (*dispatchpb.RunnerStates, error) {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	client, err := e.client(ctx, owner)
	if err != nil {
		return nil, err
	}
	return client.Online(ctx, message)
}

func (e *Exchange) client(ctx context.Context, node ident.Node) (dispatchpb.DRPCRunnerExchangeClient, error) {
	if e.config.Dialer == nil {
		return nil, transport.ErrUnknownNode
	}
	connection, err := e.config.Dialer.Conn(ctx, node)
	if err != nil {
		return nil, err
	}
	return dispatchpb.NewDRPCRunnerExchangeClient(connection), nil
}
