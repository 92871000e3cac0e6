package admission

import (
	"math"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

const (
	// demandHalfLife is the half-life of the moving average of demand.
	demandHalfLife = 5 * time.Second
	// evenFraction is the fraction of a limit that is split evenly, so that a node without recent demand can admit requests
	// immediately.
	evenFraction = 0.1
	// totalLifetime is how long a total from the home node stays valid without a newer one.
	totalLifetime = 15 * time.Second
	// reportLifetime is how long a home node counts the last report of a node.
	reportLifetime = 10 * time.Second
)

// demand is an exponentially decaying average of the requested rate, admitted or refused, in units per second.
type demand struct {
	rate float64
	last time.Time
}

// add adds a requested amount.
func (d *demand) add(amount float64, now time.Time) {
	d.decay(now)
	d.rate += amount * math.Ln2 / demandHalfLife.Seconds()
}

// current returns the rate at the given time.
func (d *demand) current(now time.Time) float64 {
	d.decay(now)
	return d.rate
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		d.rate *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
		d.last = now
	}
}

// total is the demand of all nodes for one limit, as its home node reported it.
type total struct {
	demand float64
	// own is this node's reported demand that is included in the total.
	own   float64
	until time.Time
}

// share returns this node's fraction of a limit, in (0, 1]. If all nodes have the same view, the fractions sum to one.
func share(own float64, of total, nodes int, now time.Time) float64 {
	count := float64(max(1, nodes))
	if !now.Before(of.until) || of.demand <= 0 {
		return 1 / count
	}
	part := min(1, own/max(own, of.demand))
	return evenFraction/count + (1-evenFraction)*part
}

// home sums the demand of all nodes for the limits that have this node as their home node.
type home struct {
	limits map[string]map[ident.Node]reported
}

type reported struct {
	rate  float64
	until time.Time
}

func newHome() *home { return &home{limits: map[string]map[ident.Node]reported{}} }

// report records a node's demand for a limit and returns the total over all nodes.
func (h *home) report(limit string, node ident.Node, rate float64, now time.Time) float64 {
	nodes := h.limits[limit]
	if nodes == nil {
		nodes = map[ident.Node]reported{}
		h.limits[limit] = nodes
	}
	nodes[node] = reported{rate: rate, until: now.Add(reportLifetime)}
	sum := 0.0
	for other, held := range nodes {
		if !now.Before(held.until) {
			delete(nodes, other)
			continue
		}
		sum += held.rate
	}
	return sum
}

// removeExpired deletes expired reports and the limits without reports.
func (h *home) removeExpired(now time.Time) {
	for limit, nodes := range h.limits {
		for node, held := range nodes {
			if !now.Before(held.until) {
				delete(nodes, node)
			}
		}
		if len(nodes) == 0 {
			delete(h.limits, limit)
		}
	}
}

// homeOf returns the home node of a limit, which sums its demand. It is chosen by rendezvous hashing over the live nodes.
func homeOf(limit string, nodes []ident.Node) ident.Node {
	home, _ := rendezvous.First(limit, slices.Values(nodes))
	return home
}
