// Package exchange keeps the runner tables of all nodes close to the truth: it polls the load of runners, tells owners
// of online work, shares what owners learn, and spreads the news that a runner is leaving.
//
// Messages grow with traffic, not with the square of the nodes: the reply to a count carries the owner's view of the
// runners the sender uses, and shares to everyone are rare.
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

// Peers is what the exchange needs to know of the other nodes. Implementations are safe for concurrent use.
type Peers interface {
	// Owner returns the node that owns a runner, which may be this one; false if none is known.
	Owner(runner ident.Runner) (ident.Node, bool)
	// Peers returns the live nodes without this one.
	Peers() []Peer
}

// Intervals are the periods of the exchange. Zero values take the defaults.
type Intervals struct {
	// PollOwned is the time between load reports of a runner this node owns or that has no owner in its zone.
	PollOwned time.Duration
	// ShareNear and ShareFar are the least times between shares with a peer in the own and in another zone for a change of
	// load. Other changes are shared at once.
	ShareNear, ShareFar time.Duration
	// RefreshNear and RefreshFar are the times after which a state is shared though nothing changed.
	RefreshNear, RefreshFar time.Duration
	// StaleNear and StaleFar are the ages at which a report of a runner in the own or another zone is fetched from the
	// runner itself: its owner seems to be gone.
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

// Config is what an Exchange needs.
type Config struct {
	Node    ident.Node
	Zone    ident.Zone
	Table   *dispatch.Table
	Engines dispatch.Engines
	Peers   Peers
	// Dialer reaches peers; nil means that there are none.
	Dialer    transport.Dialer
	Intervals Intervals
	// Now is the clock; nil means time.Now.
	Now        func() time.Time
	Logger     zerolog.Logger
	Registerer prometheus.Registerer
}

// Exchange runs the exchange of one node. It also is the server of the other nodes' calls.
type Exchange struct {
	config  Config
	metrics *metrics
	tomb    tomb.Tomb
	// background runs what callers outside the tomb ask for.
	background *dispatch.Background
	wake       chan struct{}

	mutex sync.Mutex
	core  *Core
}

// callTimeout bounds one call to a peer.
const callTimeout = 2 * time.Second

// New returns an exchange and hooks it to the table. Start begins it.
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
	config.Table.OnLeaving(created.leavingLearned)
	return created
}

// Start begins polling and telling.
func (e *Exchange) Start() {
	e.tomb.Go(e.tellLoop)
	e.tomb.Go(e.periodicLoop)
}

// Stop ends the exchange.
func (e *Exchange) Stop() error {
	e.tomb.Kill(nil)
	err := e.tomb.Wait()
	return errors.Join(err, e.background.Close())
}

// onlineChanged notes a change of this node's online work and wakes the loop. The time of a surge from the change to
// the send is the time of one channel operation.
func (e *Exchange) onlineChanged(runner ident.Runner, inFlight int) {
	e.mutex.Lock()
	toTell := e.core.OnlineChanged(runner, inFlight, e.config.Now())
	e.mutex.Unlock()
	if !toTell {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tellLoop tells owners what is due.
func (e *Exchange) tellLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-e.wake:
		case <-timer.C:
		}
		timer.Reset(e.tellDue())
	}
}

// idleWait is how long the loop sleeps when nothing is due.
const idleWait = time.Second

// shortestWait keeps the loop from spinning on an owner that is slow to answer.
const shortestWait = 5 * time.Millisecond

// tellDue sends what is due and returns the time to the next look.
func (e *Exchange) tellDue() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.config.Now()
	for _, tell := range e.core.Tells(now) {
		e.tomb.Go(func() error {
			e.tell(tell)
			return nil
		})
	}
	return e.core.NextTell(now)
}

// tell sends one message of counts and takes the owner's view in return.
func (e *Exchange) tell(tell Tell) {
	e.metrics.sent("online", tell.Message)
	states, err := e.callOnline(tell.Owner, tell.Message)
	e.mutex.Lock()
	e.core.Told(tell, err == nil, e.config.Now())
	e.mutex.Unlock()
	if err != nil {
		event.PeerHintFailed.Log(e.config.Logger).Err(err).Str("peer", string(tell.Owner)).Send()
		return
	}
	e.core.TakeReply(tell, states, e.config.Now())
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
