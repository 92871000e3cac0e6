package placement

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// reserve requests permits from the weight store for the wanted loads, except those that already have an unused permit.
func (s *Service) reserve(ctx context.Context, wanted []weight.Artifact) {
	unused := map[weight.Artifact]int{}
	for artifact, permits := range s.permits {
		unused[artifact] = len(permits)
	}
	for _, artifact := range wanted {
		if unused[artifact] > 0 {
			unused[artifact]--
			continue
		}
		if !s.reserveOne(ctx, artifact) {
			return
		}
	}
}

// reserveOne reserves a permit for one load. It returns false if the store fails or refuses; the next round retries.
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

// usablePermits counts the permits that may be used now and removes those that expired unused.
func (s *Service) usablePermits() map[weight.Artifact]int {
	now := s.options.Now()
	counts := map[weight.Artifact]int{}
	for artifact, permits := range s.permits {
		var kept []time.Time
		for _, usable := range permits {
			if now.Sub(usable) > permitLifetime {
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

// consumePermits removes the permits of orders that were sent, oldest first.
func (s *Service) consumePermits(orders []Order) {
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
