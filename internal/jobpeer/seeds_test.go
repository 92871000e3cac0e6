package jobpeer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// TestStartingNodeReadsNoWorkersWhileSeedsAnswer has a node start whose seeds answer and know no worker yet: it reads the list of
// workers from the store once they fall silent, or after a limited time.
func TestStartingNodeReadsNoWorkersWhileSeedsAnswer(t *testing.T) {
	for _, c := range []struct{ answersFor, reads time.Duration }{
		{0, 600 * time.Millisecond}, {time.Second, 1600 * time.Millisecond}, {time.Minute, 3600 * time.Millisecond},
	} {
		now := time.Unix(1000, 0)
		began := now
		store := kvtest.NewPaged(kvtest.NewData(func() time.Time { return now }))
		client := &WorkerClient{
			Seeds: []string{"seed"}, SeedsFor: 600 * time.Millisecond, Now: func() time.Time { return now },
			Records: &jobrecord.Records{Store: store, Now: func() time.Time { return now }},
		}
		client.readWorkers(context.Background())
		for store.Calls() == 0 {
			now = now.Add(50 * time.Millisecond)
			if now.Sub(began) <= c.answersFor {
				client.seedAnswered()
			}
			client.readWorkers(context.Background())
		}
		assert.Equal(t, now.Sub(began), c.reads, "seeds that answer for %v", c.answersFor)
	}
}

// TestSeedsAreAskedWhereTheyNameFewWorkers guards against a starting node that asks only the one worker of its zone, which may be
// down, where a seed of another zone answers.
func TestSeedsAreAskedWhereTheyNameFewWorkers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, named := range []int{0, 1, 2, 3, 30} {
		client := &WorkerClient{Zone: "z", Seeds: []string{"seed"}, SeedsFor: time.Second, Now: func() time.Time { return now }}
		var workers []fleetfeed.Worker
		for index := range named {
			workers = append(workers, fleetfeed.Worker{Zone: "z", Address: fmt.Sprint("w", index)})
		}
		client.recordStartWorkers(workers)
		assert.Equal(t, client.lacksStartWorkers(), named == 0)
		address, found := client.nearest(0)
		assert.Assert(t, found)
		assert.Equal(t, address == "seed", named < minStartWorkers, "%d workers named", named)
		client.forgetStartWorkers()
		assert.Equal(t, client.lacksStartWorkers(), named == 0 || named >= minStartWorkers)
	}
}
