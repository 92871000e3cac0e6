package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *errorDetail `json:"error"`
}

// Errors of items that are no failures: its job was cancelled first; or it must run at most once and may have.
const (
	codeCancelled = "batch_cancelled"
	codeUnknown   = "outcome_unknown"
)

type answerBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// itemChecker holds the results of one job against what was sent.
type itemChecker struct {
	bodies map[string][]byte
	seen   map[string]bool
	counts BatchLedger
	// latest is the digest of the file checked last.
	latest [sha256.Size]byte
}

func newItemChecker(bodies map[string][]byte) *itemChecker {
	return &itemChecker{bodies: bodies, seen: make(map[string]bool, len(bodies))}
}

// file checks the lines of an output or error file.
func (c *itemChecker) file(content []byte) error {
	c.latest = sha256.Sum256(content)
	for line := range bytes.Lines(content) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var result resultLine
		if err := json.Unmarshal(line, &result); err != nil {
			return fmt.Errorf("%w: result line: %w", errAnswer, err)
		}
		c.result(result)
	}
	return nil
}

// digest returns the digest of the file checked last.
func (c *itemChecker) digest() string { return hex.EncodeToString(c.latest[:]) }

func (c *itemChecker) result(result resultLine) {
	body, known := c.bodies[result.CustomID]
	switch {
	case !known:
		c.counts.Foreign++
		return
	case c.seen[result.CustomID]:
		c.counts.Doubled++
		return
	}
	c.seen[result.CustomID] = true
	if result.Error != nil && result.Error.Code == codeCancelled {
		c.counts.Cancelled++
		return
	}
	if result.Error != nil && result.Error.Code == codeUnknown {
		c.counts.Unknown++
		return
	}
	if result.Response == nil || result.Response.StatusCode != 200 {
		c.counts.Failed++
		return
	}
	c.counts.Completed++
	var answer answerBody
	if json.Unmarshal(result.Response.Body, &answer) != nil || len(answer.Choices) == 0 {
		c.wrong(result.CustomID, "not an answer")
		return
	}
	if err := enginesim.Check(body, answer.Choices[0].Message.Content); err != nil {
		c.wrong(result.CustomID, err.Error())
	}
}

func (c *itemChecker) wrong(customID, reason string) {
	c.counts.Wrong++
	c.counts.note(customID + ": " + reason)
}

// book adds the job's counts to the run's.
func (c *itemChecker) book(ledger *BatchLedger, status string) {
	ledger.Completed += c.counts.Completed
	ledger.Failed += c.counts.Failed
	ledger.Cancelled += c.counts.Cancelled
	ledger.Unknown += c.counts.Unknown
	ledger.Doubled += c.counts.Doubled
	ledger.Foreign += c.counts.Foreign
	ledger.Wrong += c.counts.Wrong
	lost := len(c.bodies) - len(c.seen)
	ledger.Lost += lost
	if lost > 0 {
		ledger.note(fmt.Sprintf("%d items without a result in a job that is %s", lost, status))
	}
	for _, detail := range c.counts.Details {
		ledger.note(detail)
	}
}
