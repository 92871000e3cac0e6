package demand

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// noteTokens keeps the tokens of a count, if it tells any.
func (t *told) noteTokens(count Count) {
	if count.Tokens <= 0 {
		return
	}
	if t.tokens == nil {
		t.tokens = map[ident.Incarnation]int{}
	}
	t.tokens[count.Runner] = count.Tokens
}

// countTokens adds the tokens of a report to the sums, or takes them out. The caller holds the mutex.
func (l *Ledger) countTokens(kept *told, sign int) {
	for runner, tokens := range kept.tokens {
		l.tokens[runner] += sign * tokens
		if l.tokens[runner] == 0 {
			delete(l.tokens, runner)
		}
	}
}

// Tokens returns the tokens of the online work at a runner of all nodes but the one named, which may be empty.
func (l *Ledger) Tokens(runner ident.Incarnation, except ident.Node, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	tokens := l.tokens[runner]
	if kept := l.nodes[except]; kept != nil && kept.counted {
		tokens -= kept.tokens[runner]
	}
	return tokens
}
