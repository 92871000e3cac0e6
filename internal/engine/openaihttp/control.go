package openaihttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Abort stops a request; see engine.Engine. Errors: engine.ErrUnreachable, engine.ErrBroken.
func (c *client) Abort(ctx context.Context, request ident.Request, keep bool) error {
	body := dialect.Abort{Request: string(request), Keep: keep}
	if err := c.control(ctx, http.MethodPost, dialect.PathAbort, body, nil); err != nil {
		return fmt.Errorf("aborting %s: %w", request, err)
	}
	return nil
}

// Load returns the engine's report; see engine.Engine. Errors: engine.ErrUnreachable, engine.ErrBroken.
func (c *client) Load(ctx context.Context) (engine.LoadReport, error) {
	var load dialect.Load
	if err := c.control(ctx, http.MethodGet, dialect.PathLoad, nil, &load); err != nil {
		return engine.LoadReport{}, fmt.Errorf("reading load: %w", err)
	}
	return loadReport(load, time.Now()), nil
}

func loadReport(load dialect.Load, now time.Time) engine.LoadReport {
	report := engine.LoadReport{
		Measured:      now.Add(-milliseconds(load.AgeMilliseconds)),
		RunningOnline: load.RunningOnline,
		RunningBatch:  load.RunningBatch,
		WaitingOnline: load.WaitingOnline,
		WaitingBatch:  load.WaitingBatch,
		MaxSequences:  load.MaxSequences,
		MemoryUsed:    load.MemoryUsed,
		MemoryTokens:  load.MemoryTokens,
		StepTime:      milliseconds(load.StepTimeMilliseconds),
		Adapters:      load.Adapters,
		Leaving:       load.Leaving,
		OwnerEpoch:    load.OwnerEpoch,
		Owner:         ident.Node(load.Owner),
		Incarnation:   load.Incarnation,
	}
	for _, model := range load.Models {
		report.Models = append(report.Models, engine.LoadedModel(model))
	}
	return report
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// Order gives a fenced order; see engine.Engine. Errors: engine.ErrFenced, engine.ErrRejected, engine.ErrUnreachable,
// engine.ErrBroken. After ErrBroken the order may have been carried out.
func (c *client) Order(ctx context.Context, order engine.Order) (engine.OrderReply, error) {
	body := dialect.Order{
		Kind:    string(order.Kind),
		Epoch:   order.Epoch,
		Node:    string(order.Node),
		Model:   order.Model,
		Version: order.Version,
		Adapter: order.Adapter,
		Role:    order.Role,
	}
	var reply dialect.OrderReply
	err := c.control(ctx, http.MethodPost, dialect.PathOrders, body, &reply)
	result := engine.OrderReply{Epoch: reply.Epoch, Owner: ident.Node(reply.Owner)}
	if err != nil {
		return result, fmt.Errorf("order %s: %w", order.Kind, err)
	}
	return result, nil
}

// CacheEvents returns cache events; see engine.Engine. Errors: engine.ErrUnreachable, engine.ErrBroken.
func (c *client) CacheEvents(ctx context.Context, after uint64, sampleBits uint) (engine.CacheEvents, error) {
	var answer dialect.CacheEvents
	path := dialect.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10) + "&" + sampleQuery(sampleBits)
	if err := c.control(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return engine.CacheEvents{}, fmt.Errorf("reading cache events: %w", err)
	}
	events := engine.CacheEvents{
		Incarnation: answer.Incarnation,
		After:       after,
		SampleBits:  sampleBits,
		Newest:      answer.Newest,
		Held:        answer.Held,
	}
	for _, event := range answer.Events {
		events.Events = append(events.Events, engine.CacheEvent(event))
	}
	return events, nil
}

// CacheBlocks returns a sample of the cached blocks; see engine.Engine. Errors: engine.ErrRejected,
// engine.ErrUnreachable, engine.ErrBroken.
func (c *client) CacheBlocks(ctx context.Context, sampleBits uint) (engine.CacheBlocks, error) {
	var answer dialect.CacheBlocks
	path := dialect.PathCacheBlocks + "?" + sampleQuery(sampleBits)
	if err := c.control(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return engine.CacheBlocks{}, fmt.Errorf("listing cached blocks: %w", err)
	}
	return engine.CacheBlocks(answer), nil
}

func sampleQuery(bits uint) string { return "sample_bits=" + strconv.FormatUint(uint64(bits), 10) }

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	return encoded, nil
}

// control makes a control call and reads its JSON answer, also of a refusal.
func (c *client) control(ctx context.Context, method, path string, body, answer any) error {
	encoded, err := encode(body)
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := c.send(ctx, method, path, encoded, header)
	if err != nil {
		return err
	}
	defer discard(response)
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrBroken, err)
	}
	if answer != nil {
		err = json.Unmarshal(content, answer)
	}
	if response.StatusCode != http.StatusOK {
		return answerFailure(response)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrBroken, err)
	}
	return nil
}
