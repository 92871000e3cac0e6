package node

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/policy"
)

// cutOffRetryAfter is when callers refused by a cut-off site's policy should come back.
const cutOffRetryAfter = 5 * time.Second

// admittedDispatcher admits each online request before it is dispatched, and returns its ticket afterwards.
type admittedDispatcher struct {
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher
	cutOff     *cutOffWatch
	demand     *demandMeter
}

// Dispatch runs the request; the error is a *failure.Error that states whether it ran.
func (d admittedDispatcher) Dispatch(ctx context.Context, request *inference.Request, sink dispatch.Sink) error {
	if d.cutOff.refusesOnline(request.Service, time.Now()) {
		return failure.New(failure.CodeNoBackend, "this site is cut off and its policy refuses %s", request.Service).
			WithRetryAfter(cutOffRetryAfter)
	}
	return d.admission.Run(ctx, request, func() error {
		d.demand.begin(request.Model)
		defer d.demand.end(request.Model)
		return d.dispatcher.Dispatch(ctx, request, sink)
	})
}

// serviceCapacity returns how many online requests the runners of a service take at once.
func (n *Node) serviceCapacity(name string) float64 {
	target := n.replica.Current().Services[name]
	return n.table.Capacity(target.Model, target.Zones, time.Now())
}

// policyRequest is what the program "may_wait" sees of a request.
func policyRequest(request *inference.Request, prospect admission.Wait) policy.Request {
	asked := policy.Request{
		Tenant:        request.Tenant,
		Service:       request.Service,
		UntilDeadline: policy.NoDeadline,
		EstimatedWait: prospect.Expected,
		QueueLength:   prospect.Queued,
		Repeatable:    request.Repeatable,
	}
	if !request.Deadline.IsZero() {
		asked.UntilDeadline = time.Until(request.Deadline)
	}
	return asked
}
