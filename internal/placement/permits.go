package placement

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// reserve asks the weight store for the loads that lack a permit, but for those whose permit waits already.
func (s *Service) reserve(ctx context.Context, wanted []weight.Artifact) {
	waiting := map[weight.Artifact]int{}
	for artifact, permits := range s.permits {
		waiting[artifact] = len(permits)
	}
	for _, artifact := range wanted {
		if waiting[artifact] > 0 {
			waiting[artifact]--
			continue
		}
		if !s.reserveOne(ctx, artifact) {
			return
		}
	}
}

// reserveOne returns false if the store can't be asked now; the next round tries again.
func (s *Service) reserveOne(ctx context.Context, artifact weight.Artifact) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	described, err := s.options.Store.Describe(ctx, artifact.Name, artifact.Version)
	if err != nil {
		event.PlacementThrottled.Log(s.options.Logger).Err(err).Str("artifact", artifact.Name).Send()
		return false
	}
	permit, err := s.options.Store.Reserve(ctx, described)
	if err != nil {
		event.PlacementThrottled.Log(s.options.Logger).Err(err).Str("artifact", artifact.Name).Send()
		return false
	}
	spread := time.Duration(s.options.Random() * float64(permitSpread))
	s.permits[artifact] = append(s.permits[artifact], s.options.Now().Add(permit.NotBefore+spread))
	slices.SortFunc(s.permits[artifact], time.Time.Compare)
	return true
}

// ready counts the permits that may be used now and drops those that nobody used.
func (s *Service) ready() map[weight.Artifact]int {
	now := s.options.Now()
	counts := map[weight.Artifact]int{}
	for artifact, permits := range s.permits {
		var kept []time.Time
		for _, usable := range permits {
			if now.Sub(usable) > permitLife {
				continue
			}
			kept = append(kept, usable)
			if !usable.After(now) {
				counts[artifact]++
			}
		}
		if len(kept) == 0 {
			delete(s.permits, artifact)
			continue
		}
		s.permits[artifact] = kept
	}
	return counts
}

// use spends the permits of orders that were sent, the oldest first.
func (s *Service) use(orders []Order) {
	for _, order := range orders {
		if !order.loads() {
			continue
		}
		artifact := order.artifact()
		if permits := s.permits[artifact]; len(permits) > 0 {
			s.permits[artifact] = permits[1:]
		}
	}
}
