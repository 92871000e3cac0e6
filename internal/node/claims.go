package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/batch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

const claimPeriod = 500 * time.Millisecond

// claims claims the runners that rendezvous hashing gives this node among the live nodes of the runner's zone.
type claims struct {
	peers   peers
	zone    ident.Zone
	engines *engineDirectory
	tomb    tomb.Tomb

	mutex   sync.Mutex
	runners []machine.Runner
	owned   map[ident.Runner]uint64
}

func (c *claims) seen(list machine.List) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runners = list.Runners
}

// Start begins to claim.
func (c *claims) Start() {
	c.tomb.Go(func() error {
		ticker := time.NewTicker(claimPeriod)
		defer ticker.Stop()
		for {
			c.round(c.tomb.Context(context.Background()))
			select {
			case <-c.tomb.Dying():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// Release stops claiming.
func (c *claims) Release(context.Context) error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

func (c *claims) round(ctx context.Context) {
	c.mutex.Lock()
	runners := slices.Clone(c.runners)
	c.mutex.Unlock()
	for _, runner := range runners {
		owner, _ := c.Owner(runner.ID)
		if owner == c.peers.self {
			c.claim(ctx, runner.ID)
			continue
		}
		c.drop(runner.ID)
	}
}

func (c *claims) drop(runner ident.Runner) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.owned, runner)
}

func (c *claims) claim(ctx context.Context, runner ident.Runner) {
	adapter, known := c.engines.Engine(runner)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimPeriod)
	defer cancel()
	report, err := adapter.Load(ctx)
	if err != nil || report.Owner == c.peers.self && c.holds(runner) {
		return
	}
	epoch := report.OwnerEpoch + 1
	if _, err := adapter.Order(ctx, engine.Order{Kind: engine.OrderOwn, Epoch: epoch, Node: c.peers.self}); err != nil {
		c.drop(runner)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owned[runner] = epoch
}

func (c *claims) holds(runner ident.Runner) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, held := c.owned[runner]
	return held
}

// Owned returns the runners this node has claimed.
func (c *claims) Owned() []batch.Owned {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var owned []batch.Owned
	for runner, epoch := range c.owned {
		owned = append(owned, batch.Owned{Runner: runner, Epoch: epoch})
	}
	return owned
}

// Owner returns the node that rendezvous hashing gives a runner.
func (c *claims) Owner(runner ident.Runner) (ident.Node, bool) {
	zone, known := c.zoneOf(runner)
	if !known {
		return "", false
	}
	var best ident.Node
	var highest uint64
	consider := func(node ident.Node) {
		if score := xxhash.Sum64String(string(runner) + "/" + string(node)); best == "" || score > highest {
			best, highest = node, score
		}
	}
	if zone == c.zone {
		consider(c.peers.self)
	}
	for _, member := range c.peers.live() {
		if member.Zone == zone {
			consider(member.Node)
		}
	}
	return best, best != ""
}

func (c *claims) zoneOf(runner ident.Runner) (ident.Zone, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, listed := range c.runners {
		if listed.ID == runner {
			return listed.Zone, true
		}
	}
	return "", false
}
