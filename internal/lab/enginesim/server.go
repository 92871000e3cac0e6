package enginesim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// maxControlBody bounds the body of a control call, in bytes.
const maxControlBody = 1 << 20

func (e *Engine) handler() http.Handler {
	router := bunrouter.New(bunrouter.Use(e.gate))
	router.POST(string(inference.ChatCompletions), e.handleGenerate(inference.ChatCompletions))
	router.POST(string(inference.Completions), e.handleGenerate(inference.Completions))
	router.GET(dialect.PathStreams+":request", e.handleResume)
	router.POST(dialect.PathAbort, e.handleAbort)
	router.GET(dialect.PathLoad, e.handleLoad)
	router.POST(dialect.PathOrders, e.handleOrder)
	router.GET(dialect.PathCacheEvents, e.handleCacheEvents)
	router.GET(dialect.PathCacheBlocks, e.handleCacheBlocks)
	router.GET(dialect.PathModels, e.handleModels)
	router.GET(dialect.PathHealth, e.handleHealth)
	return router
}

// gate holds every call back while the engine is frozen or slowed.
func (e *Engine) gate(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		e.faults.delay(request.Context())
		if !e.waitThawed(request.Context()) {
			return nil
		}
		return next(w, request)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return fmt.Errorf("writing answer: %w", err)
	}
	return nil
}

func writeRefusal(w http.ResponseWriter, refused *refusal) error {
	w.Header().Set(dialect.HeaderNotRun, "true")
	w.Header().Set(dialect.HeaderCode, refused.code)
	if refused.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refused.retryAfter))
	}
	detail := dialect.ErrorDetail{Message: refused.message, Type: "engine_error", Code: refused.code, NotRun: "true"}
	return writeJSON(w, refused.status, dialect.ErrorBody{Error: detail})
}

func reject(w http.ResponseWriter, message string) error {
	return writeRefusal(w, &refusal{http.StatusBadRequest, dialect.CodeRejected, message, 0})
}

func readJSON(w http.ResponseWriter, request bunrouter.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxControlBody))
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("%w: %w", ErrBadBody, err)
	}
	return nil
}

func (e *Engine) handleAbort(w http.ResponseWriter, request bunrouter.Request) error {
	var body dialect.Abort
	if err := readJSON(w, request, &body); err != nil {
		return reject(w, err.Error())
	}
	e.abort(ident.Request(body.Request), body.Keep)
	return writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, e.load(time.Now()))
}

func (e *Engine) handleOrder(w http.ResponseWriter, request bunrouter.Request) error {
	var order dialect.Order
	if err := readJSON(w, request, &order); err != nil {
		return reject(w, err.Error())
	}
	if subject(order) == "" {
		return reject(w, "unknown kind of order")
	}
	reply, accepted := e.order(order)
	if !accepted {
		w.Header().Set(dialect.HeaderCode, dialect.CodeFenced)
		return writeJSON(w, http.StatusConflict, reply)
	}
	return writeJSON(w, http.StatusOK, reply)
}

// order books an order. Loads take effect after the model load time, if no newer order has come meanwhile.
func (e *Engine) order(order dialect.Order) (dialect.OrderReply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.admit(order) {
		return e.orders.reply(), false
	}
	switch engine.OrderKind(order.Kind) {
	case engine.OrderLoadModel, engine.OrderLoadAdapter:
		time.AfterFunc(e.scaled(e.options.ModelLoadTime), func() { e.finishLoad(order) })
	default:
		e.orders.apply(order)
	}
	return e.orders.reply(), true
}

func (e *Engine) finishLoad(order dialect.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.epochs[subject(order)] == order.Epoch {
		e.orders.apply(order)
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, request bunrouter.Request) error {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return reject(w, "after must be a sequence number")
	}
	bits, valid := sampleBits(request)
	if !valid {
		return reject(w, "sample_bits must be a number from 0 to 16")
	}
	return writeJSON(w, http.StatusOK, e.cacheEvents(after, bits, time.Now()))
}

// maxSampleBits bounds the sample of a cache listing to one block in 65,536.
const maxSampleBits = 16

func (e *Engine) handleCacheBlocks(w http.ResponseWriter, request bunrouter.Request) error {
	bits, valid := sampleBits(request)
	if !valid {
		return reject(w, "sample_bits must be a number from 0 to 16")
	}
	return writeJSON(w, http.StatusOK, e.cacheBlocks(bits))
}

func sampleBits(request bunrouter.Request) (uint, bool) {
	bits, err := strconv.ParseUint(request.URL.Query().Get("sample_bits"), 10, 8)
	return uint(bits), err == nil && bits <= maxSampleBits
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (e *Engine) handleModels(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range e.orders.models {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model"})
	}
	e.mu.Unlock()
	return writeJSON(w, http.StatusOK, list)
}

type health struct {
	Runner string `json:"runner"`
	Zone   string `json:"zone"`
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, health{Runner: string(e.options.Runner), Zone: string(e.options.Zone)})
}
