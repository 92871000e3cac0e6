package membership

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"slices"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
)

type metrics struct {
	members *prometheus.GaugeVec
	cutOff  prometheus.Gauge
	dropped prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mallowlatch_membership_known_members",
			Help: "Members of all zones, by state as this node sees it.",
		}, []string{"state"}),
		cutOff: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowlatch_membership_cut_off_zones",
			Help: "Zones that this node's zone can't reach.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowlatch_membership_dropped_messages",
			Help: "Messages not sent because too many were under way.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(created.members, created.cutOff, created.dropped)
	}
	return created
}

// registerCounts registers the detector's totals as metrics.
func (s *Service) registerCounts(registerer prometheus.Registerer) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mallowlatch_membership_own_suspicions",
			Help: "Members that this node's own probes made suspect.",
		}, func() float64 { return float64(s.Counts().Suspicions) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mallowlatch_membership_own_refutations",
			Help: "Records of other nodes about this one that it had to contradict.",
		}, func() float64 { return float64(s.Counts().Refutations) }),
	)
}

// publish replaces the snapshot and notifies the subscribers if anything changed. The caller must hold the mutex.
func (s *Service) publish() {
	if s.published == s.core.Changes() {
		return
	}
	s.published = s.core.Changes()
	before := s.view.Load()
	view := s.core.View()
	s.view.Store(view)
	s.metrics.show(view)
	logChanges(s.options.Logger, before, view)
	for target := range s.subscribers {
		select {
		case target.changed <- struct{}{}:
		default:
		}
	}
}

func (m *metrics) show(view *View) {
	counts := map[State]int{}
	for _, member := range view.Members {
		counts[member.State]++
	}
	for _, state := range []State{Alive, Leaving, Suspect, Dead} {
		m.members.WithLabelValues(state.String()).Set(float64(counts[state]))
	}
	m.cutOff.Set(float64(len(view.CutOff)))
}

var eventOfState = map[State]event.Event{
	Alive:   event.MemberAlive,
	Leaving: event.MemberLeaving,
	Suspect: event.MemberSuspect,
	Dead:    event.MemberDead,
}

// logChanges logs state changes of the members of the node's zone and of the reachability of other zones.
func logChanges(logger zerolog.Logger, before, after *View) {
	for _, member := range after.Members {
		earlier, known := before.Member(member.Node)
		if member.Zone != after.Zone || (known && earlier.State == member.State) {
			continue
		}
		eventOfState[member.State].Log(logger).Str("member", string(member.Node)).Send()
	}
	logZones(logger, event.ZoneCutOff, knownZones(before, after.CutOff), before.CutOff)
	logZones(logger, event.ZoneReached, before.CutOff, after.CutOff)
}

// knownZones returns those of the zones that have members in the view. It excludes new zones that were not reached yet,
// which would otherwise be logged as lost.
func knownZones(view *View, zones []ident.Zone) []ident.Zone {
	var known []ident.Zone
	for _, zone := range zones {
		if slices.ContainsFunc(view.Members, func(member Member) bool { return member.Zone == zone }) {
			known = append(known, zone)
		}
	}
	return known
}

// logZones logs the zones that are only in the first list.
func logZones(logger zerolog.Logger, what event.Event, in, notIn []ident.Zone) {
	known := map[ident.Zone]bool{}
	for _, zone := range notIn {
		known[zone] = true
	}
	for _, zone := range in {
		if !known[zone] {
			what.Log(logger).Str("zone", string(zone)).Send()
		}
	}
}

// View returns the newest snapshot; it is never nil.
func (s *Service) View() *View { return s.view.Load() }

// Members returns the members of the newest snapshot, sorted by node. Callers must not modify the slice.
func (s *Service) Members() []Member { return s.View().Members }

// Subscribe returns a channel that has a value whenever the snapshot has changed since the channel was last read, and a
// function that cancels the subscription.
func (s *Service) Subscribe() (changed <-chan struct{}, cancel func()) {
	added := &subscriber{changed: make(chan struct{}, 1)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscribers[added] = struct{}{}
	return added.changed, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.subscribers, added)
	}
}

// Address returns a member's peer address, including that of suspect and dead members.
func (s *Service) Address(node ident.Node) (string, bool) {
	member, known := s.View().Member(node)
	return member.PeerAddress, known
}

// CallerAddress returns the address of a member's caller API.
func (s *Service) CallerAddress(node ident.Node) (string, bool) {
	member, known := s.View().Member(node)
	return member.CallerAddress, known && member.CallerAddress != ""
}

// Alive reports whether a member is alive and its zone reachable.
func (s *Service) Alive(node ident.Node) bool {
	member, known := s.View().Member(node)
	return known && member.State == Alive
}
