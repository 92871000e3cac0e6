package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// refusedPause is the time before a worker tries a full engine again.
const refusedPause = 20 * time.Millisecond

// startDirectBatch starts the workers of every engine that gets batch items directly.
func (r *Run) startDirectBatch(ctx context.Context, group *tomb.Tomb) {
	for index, address := range r.options.DirectBatch {
		for worker := range r.options.DirectWorkers {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(index*r.options.DirectWorkers+worker)+10))
			group.Go(func() error {
				r.directWorker(ctx, address, random)
				return nil
			})
		}
	}
}

// directWorker runs items on one engine, one after the other, until the arrivals end.
func (r *Run) directWorker(ctx context.Context, address string, random *rand.Rand) {
	for ctx.Err() == nil {
		item := promptShape{
			identity: random.Uint64(),
			prefix:   -1,
			tokens:   length(random, r.options.BatchPromptTokens),
			answer:   length(random, r.options.BatchAnswerTokens),
		}
		for !r.directItem(ctx, address, item) {
			if !pause(ctx, refusedPause) {
				return
			}
		}
	}
}

// directItem runs one item and says whether it is done with, rightly or not.
func (r *Run) directItem(ctx context.Context, address string, item promptShape) bool {
	body := item.chat(r.options.Model, false, true)
	content, err := r.directCall(ctx, address, body)
	if err != nil {
		return false
	}
	var answer answerBody
	if err := json.Unmarshal(content, &answer); err != nil || len(answer.Choices) == 0 {
		return false
	}
	checked := enginesim.Check(body, answer.Choices[0].Message.Content)
	r.recorder.batchProgress(time.Since(r.started), 1)
	r.recorder.batchResult(func(ledger *BatchLedger) {
		ledger.Accepted++
		ledger.Completed++
		if checked != nil {
			ledger.Wrong++
			ledger.note(checked.Error())
		}
	})
	return true
}

func (r *Run) directCall(ctx context.Context, address string, body []byte) ([]byte, error) {
	request, err := r.newRequest(ctx, address, http.MethodPost, 0, chatPath, "application/json", body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(dialect.HeaderPriority, dialect.PriorityBatch)
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling engine: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("reading answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %d", errAnswer, response.StatusCode)
	}
	return content, nil
}
