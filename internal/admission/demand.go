package admission

import (
	"math"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

const (
	// demandHalfLife is the time in which the memory of demand halves.
	demandHalfLife = 5 * time.Second
	// floorShare is the part of a limit that is split evenly, so that a node without demand so far can begin at once.
	floorShare = 0.1
	// totalTime is how long the home's total holds without a new one.
	totalTime = 15 * time.Second
	// demandTime is how long a home counts a node that does not report.
	demandTime = 10 * time.Second
)

// demand is a fading rate of what callers asked for, admitted or not, in units per second.
type demand struct {
	rate float64
	last time.Time
}

// add counts an amount.
func (d *demand) add(amount float64, now time.Time) {
	d.fade(now)
	d.rate += amount * math.Ln2 / demandHalfLife.Seconds()
}

// current returns the rate now.
func (d *demand) current(now time.Time) float64 {
	d.fade(now)
	return d.rate
}

func (d *demand) fade(now time.Time) {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		d.rate *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
		d.last = now
	}
}

// total is what a limit's home said of the demand of all nodes.
type total struct {
	demand float64
	// own is this node's part of the demand.
	own   float64
	until time.Time
}

// share returns this node's part of a limit, above 0 to 1. Over all nodes with the same view the parts sum to one.
func share(own float64, of total, nodes int, now time.Time) float64 {
	count := float64(max(1, nodes))
	if !now.Before(of.until) || of.demand <= 0 {
		return 1 / count
	}
	part := min(1, own/max(own, of.demand))
	return floorShare/count + (1-floorShare)*part
}

// home sums the demand of all nodes for the limits this node is home of.
type home struct {
	limits map[string]map[ident.Node]reported
}

type reported struct {
	rate  float64
	until time.Time
}

func newHome() *home { return &home{limits: map[string]map[ident.Node]reported{}} }

// report takes a node's demand and returns the total.
func (h *home) report(limit string, node ident.Node, rate float64, now time.Time) float64 {
	nodes := h.limits[limit]
	if nodes == nil {
		nodes = map[ident.Node]reported{}
		h.limits[limit] = nodes
	}
	nodes[node] = reported{rate: rate, until: now.Add(demandTime)}
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

// forget drops limits nobody reports any more.
func (h *home) forget(now time.Time) {
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

// homeOf returns the node that sums a limit, by rendezvous hashing over the live nodes.
func homeOf(limit string, nodes []ident.Node) ident.Node {
	home, _ := rendezvous.First(limit, slices.Values(nodes))
	return home
}
