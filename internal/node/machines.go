package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// machinePoller reads the machine list and passes it on. While the list can't be read the last reading stands: the list
// is a hint, and what engines and peers say is fresher.
type machinePoller struct {
	lister  machine.Lister
	period  time.Duration
	engines *engineDirectory
	table   *dispatch.Table
	logger  zerolog.Logger

	failing bool
}

// Run polls until ctx ends.
func (p *machinePoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *machinePoller) poll(ctx context.Context) {
	list, err := p.lister.List(ctx)
	if err != nil {
		p.noteFailure(ctx, err)
		return
	}
	p.failing = false
	p.engines.Update(list)
	p.table.SetMachines(list, time.Now())
}

// noteFailure logs the first of a row of failures.
func (p *machinePoller) noteFailure(ctx context.Context, err error) {
	if p.failing || ctx.Err() != nil {
		return
	}
	p.failing = true
	event.MachineListUnread.Log(p.logger).Err(err).Send()
}
