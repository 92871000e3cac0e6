package shardsim

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

type link struct{ from, to ident.Node }

// network delays, reorders, duplicates, drops and cuts.
type network struct {
	// cut holds the time until which a direction is cut.
	cut       map[link]time.Duration
	lossUntil time.Duration
}

// Chances of the faults of a healthy and a lossy network.
const (
	duplicateChance = 0.02
	straggleChance  = 0.01
	healthyLoss     = 0.002
	heavyLoss       = 0.2
)

func (s *Simulation) send(message shard.Message) {
	s.Messages++
	s.checker.sent(s, message)
	path := link{from: message.From.Node, to: message.To.Node}
	loss := healthyLoss
	if s.now < s.network.lossUntil {
		loss = heavyLoss
	}
	if s.now < s.network.cut[path] || s.chance(loss) {
		return
	}
	s.deliver(message)
	if s.chance(duplicateChance) {
		s.deliver(message)
	}
}

func (s *Simulation) deliver(message shard.Message) {
	delay := s.between(time.Millisecond, longestDelay)
	if s.chance(straggleChance) && !s.options.Prompt {
		delay = s.between(longestDelay, longestStraggle)
	}
	receiver := s.node(message.To.Node)
	s.After(delay, func() {
		receiver.input(func() error {
			receiver.heard[message.From.Node] = s.now
			return receiver.driver.Core.Step(receiver.clock(), message)
		})
	})
}

// sendSnapshot carries the applied state of the sender as of now.
func (s *Simulation) sendSnapshot(sender *node, to shard.Member) {
	index := sender.disk.applied
	term, err := sender.driver.Core.TermAt(index)
	if err != nil {
		s.fail("%s: %v", sender.name, err)
		return
	}
	status := sender.driver.Core.Status(sender.clock())
	snapshot := shard.Snapshot{
		From: sender.member(), To: to, LeaderTerm: status.Term, Index: index, Term: term,
		Configuration: status.Configuration,
	}
	state := sender.disk.state.Clone()
	sender.driver.Core.SnapshotStarted(to, snapshot.Index)
	receiver := s.node(to.Node)
	lives := sender.lives
	s.After(s.between(snapshotTakes/2, 2*snapshotTakes), func() {
		arrives := s.now >= s.network.cut[link{from: sender.name, to: to.Node}]
		if !arrives || receiver.member() != to {
			if sender.lives == lives {
				sender.input(func() error { sender.driver.Core.SnapshotEnded(to, false); return nil })
			}
			return
		}
		taken := false
		receiver.input(func() error {
			if receiver.driver.Core.Install(receiver.clock(), snapshot) {
				receiver.staged, taken = state, true
			}
			return nil
		})
		// The receipt may be refused or lost: the sender's stream ends either way.
		s.After(snapshotTakes, func() {
			if sender.lives == lives {
				sender.input(func() error { sender.driver.Core.SnapshotEnded(to, taken); return nil })
			}
		})
	})
}
