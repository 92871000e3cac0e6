package gateway

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/request"
)

// infer serves one online request of the endpoint.
func (g *Gateway) infer(endpoint inference.Endpoint) handler {
	return func(exchange *exchange) error {
		body, err := exchange.readBody()
		if err != nil {
			return err
		}
		defer body.release()
		decoded, err := exchange.decode(endpoint, body.content)
		if err != nil {
			return err
		}
		ctx, cancel := exchange.inferenceContext(decoded)
		defer cancel()
		if decoded.Stream {
			return exchange.streamAnswer(ctx, decoded)
		}
		return exchange.wholeAnswer(ctx, decoded)
	}
}

// decode validates the request and adds what the headers say.
func (e *exchange) decode(endpoint inference.Endpoint, body []byte) (*inference.Request, error) {
	decoded, err := request.Decode(endpoint, body, e.key.Tenant, e.snapshot)
	if err != nil {
		return nil, err
	}
	decoded.ID = e.id
	decoded.Class = inference.Online
	decoded.Arrived = e.arrived
	if decoded.IdempotencyKey, err = idempotencyKey(e.request.Header); err != nil {
		return nil, err
	}
	if decoded.Repeatable, err = repeatable(e.request.Header, decoded.Repeatable); err != nil {
		return nil, err
	}
	if !decoded.Repeatable && decoded.IdempotencyKey == "" {
		return nil, failure.New(failure.CodeInvalidRequest, "a request that is not repeatable needs an %s: without one a resend could not be told from a new request", headerIdempotencyKey).WithParam(headerIdempotencyKey)
	}
	if decoded.Deadline, err = deadline(e.request.Header, e.arrived); err != nil {
		return nil, err
	}
	return decoded, nil
}

// inferenceContext ends when the caller goes, when the request's time is up, or when a drain is cut.
func (e *exchange) inferenceContext(decoded *inference.Request) (context.Context, context.CancelFunc) {
	end := time.Now().Add(e.gateway.limits.RequestTimeout)
	if !decoded.Deadline.IsZero() && decoded.Deadline.Before(end) {
		end = decoded.Deadline
	}
	ctx, cancelCause := context.WithCancelCause(e.request.Context())
	stopCut := context.AfterFunc(e.gateway.cut, func() { cancelCause(errDrainCut) })
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, end, errTimeUp)
	return ctx, func() {
		stopCut()
		cancelDeadline()
		cancelCause(nil)
	}
}
