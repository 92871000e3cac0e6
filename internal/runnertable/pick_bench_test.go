package runnertable_test

import (
	"fmt"
	"testing"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// BenchmarkPick chooses among 880 runners of one service in 11 zones.
func BenchmarkPick(b *testing.B) {
	table := runnertable.New("z0")
	var listed []work.Runner
	var shares []demand.Share
	for index := range 880 {
		id := ident.Incarnation(fmt.Sprint("r", index))
		listed = append(listed, work.Runner{ID: id, Service: "s", Address: string(id), Zone: ident.Zone(fmt.Sprint("z", index%11)),
			Slots: 8})
		shares = append(shares, demand.Share{Runner: id, Others: index % 9})
	}
	table.Replace(listed, start, true)
	table.UpdateShares(shares, start)
	chance := random()
	for b.Loop() {
		flight, err := table.Pick(runnertable.PickRequest{Service: "s", PromptTokens: 450, RefusedBy: map[ident.Incarnation]bool{}}, start, chance)
		if err != nil {
			b.Fatal(err)
		}
		flight.End()
	}
}
