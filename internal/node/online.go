package node

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// admittedDispatcher admits each online request before it is dispatched, and returns its ticket afterwards.
type admittedDispatcher struct {
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher
}

// Dispatch runs the request; the error is a *failure.Error that states whether it ran.
func (d admittedDispatcher) Dispatch(ctx context.Context, request *inference.Request, sink dispatch.Sink) error {
	ticket, err := d.admission.Admit(ctx, request)
	if err != nil {
		return err
	}
	err = d.dispatcher.Dispatch(ctx, request, sink)
	ticket.Done(err)
	return err
}
