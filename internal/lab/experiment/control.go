package experiment

import "context"

// runControl leaves a fleet without any load and measures what its nodes use for control.
func runControl(ctx context.Context, environment *environment) (Measurement, error) {
	idle, err := environment.runPhase(ctx, phase{name: "idle", nodes: true})
	if err != nil {
		return Measurement{}, err
	}
	return Measurement{Fields: Fields{
		"idle_node_core_share":  idle.coreShare(),
		"idle_node_resident_mb": float64(idle.nodes.resident) / megabyte,
	}}, nil
}
