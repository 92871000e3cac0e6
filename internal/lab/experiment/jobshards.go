package experiment

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

// JobOptions shape the experiment job-shards.
type JobOptions struct {
	// Nodes lists the numbers of disk nodes, each a fleet of its own; multiples of three, one zone each.
	Nodes []int
	// Shards is the number of job shards; Tenants is the number of tenants, each with one job.
	Shards, Tenants int
	// Items is the number of items of each job, PlainItems that of the variant with one commit an item.
	Items, PlainItems int
	// LargeItems is the number of items of one large job that a small one follows; zero leaves that part out.
	LargeItems int
	// Workers is the number of workers without a model, LeaseItems the items of one of their leases.
	Workers, LeaseItems int
}

const (
	jobZones = 3
	// designItems is the items a second of the fleet to design for, and designNodes its disk nodes.
	designItems = 13_900
	designNodes = 33
	// settlePause lets the replicas be placed and synchronised before anything is measured.
	settlePause = 5 * time.Second
)

// runJobShards measures the job shards alone: disk nodes as separate processes, jobs submitted through
// the caller API, and workers that run no model.
func runJobShards(ctx context.Context, environment *environment) (Measurement, error) {
	fields := Fields{}
	for _, nodes := range environment.options.Jobs.Nodes {
		if err := environment.measureJobShards(ctx, nodes, fields); err != nil {
			return Measurement{}, fmt.Errorf("%d nodes: %w", nodes, err)
		}
	}
	fields.jobSlope(environment.options.Jobs.Nodes)
	return Measurement{Fields: fields}, nil
}

func (e *environment) measureJobShards(ctx context.Context, nodes int, fields Fields) error {
	started, err := e.startJobFleet(ctx, nodes)
	if err != nil {
		return err
	}
	defer e.stop("job-shards", started)
	run := newJobRun(e, started, fmt.Sprintf("n%d", nodes), fields)
	defer run.close()
	if !sleep(ctx, settlePause) {
		return fmt.Errorf("%w: stopped before the measurement", ErrSetup)
	}
	if err := run.batched(ctx); err != nil {
		return fmt.Errorf("leases of many items: %w", err)
	}
	if err := run.plain(ctx); err != nil {
		return fmt.Errorf("one commit an item: %w", err)
	}
	if e.options.Jobs.LargeItems == 0 {
		return nil
	}
	if err := run.largeAndSmall(ctx); err != nil {
		return fmt.Errorf("large and small job: %w", err)
	}
	return nil
}

// startJobFleet starts disk nodes in three zones, the stand-ins and an engine that is not used, and writes the tenants.
func (e *environment) startJobFleet(ctx context.Context, nodes int) (*fleet.Fleet, error) {
	e.phases++
	plan := fleet.Plan{
		Directory:     filepath.Join(e.options.Directory, fmt.Sprintf("run-%d-%d-nodes-%d", e.run+1, e.phases, nodes)),
		Binaries:      e.options.Binaries,
		Models:        []string{"unused"},
		NodeSettings:  e.options.NodeSettings,
		Shards:        e.options.Jobs.Shards,
		Replicas:      3,
		MinimumCopies: 3,
		BasePort:      e.options.BasePort,
		AdminKey:      adminKey,
	}
	for number := range jobZones {
		count := (nodes + jobZones - 1 - number) / jobZones
		plan.Zones = append(plan.Zones, fleet.Zone{Name: "zone-" + strconv.Itoa(number), Region: "main", Nodes: count, DiskNodes: count})
	}
	// A node is ready once it knows a runner.
	plan.Zones[0].Runners = 1
	laidOut, err := fleet.New(plan)
	if err != nil {
		return nil, fmt.Errorf("laying out the fleet: %w", err)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = laidOut.Start(startCtx)
	if err == nil {
		err = e.provisionTenants(startCtx, laidOut)
	}
	if err != nil {
		e.stop("job-shards", laidOut)
		return nil, fmt.Errorf("starting the fleet: %w", err)
	}
	return laidOut, nil
}

// jobSlope says what the processor time of an item means for the fleet to design for, by each size measured.
func (f Fields) jobSlope(sizes []int) {
	for _, nodes := range sizes {
		perItem, measured := f[fmt.Sprintf("n%d_batched_processor_us_per_item", nodes)]
		if !measured {
			continue
		}
		share := perItem / 1e6 * designItems / designNodes
		f[fmt.Sprintf("n%d_design_core_share_of_a_node", nodes)] = share
		f[fmt.Sprintf("n%d_design_margin_on_one_core", nodes)] = 1 / share
	}
}
