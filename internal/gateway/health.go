package gateway

import (
	"encoding/json"
	"net/http"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// healthReport is the answer of /healthz and /readyz.
type healthReport struct {
	Status     string `json:"status"`
	InProgress int    `json:"in_progress"`
}

// health answers as long as the process serves, also while draining.
func (g *Gateway) health(exchange *exchange) error {
	return exchange.answer(healthReport{Status: "ok", InProgress: g.draining.count()})
}

// ready answers whether new work should be sent here.
func (g *Gateway) ready(exchange *exchange) error {
	if err := g.Ready(); err != nil {
		return err
	}
	return exchange.answer(healthReport{Status: "ready", InProgress: g.draining.count()})
}

// Ready returns nil while new work should be sent here, else a *failure.Error.
func (g *Gateway) Ready() error {
	if g.leaving.Load() || g.draining.isClosed() {
		return failure.New(failure.CodeDraining, "this node is stopping").WithRetryAfter(drainingRetryAfter)
	}
	if g.options.Ready == nil {
		return nil
	}
	if err := g.options.Ready(); err != nil {
		return failure.New(failure.CodeOverloaded, "this node is not ready").WithCause(err).WithRetryAfter(drainingRetryAfter)
	}
	return nil
}

// answer answers 200 with the value as JSON.
func (e *exchange) answer(value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return failure.New(failure.CodeInternal, "the answer could not be written").WithCause(err)
	}
	e.writeJSON(http.StatusOK, body)
	return nil
}
