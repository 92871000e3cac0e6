package demand

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// recordTokens stores the tokens of a count, if it has any.
func (r *nodeReport) recordTokens(count Count) {
	if count.Tokens <= 0 {
		return
	}
	if r.tokens == nil {
		r.tokens = map[ident.Incarnation]int{}
	}
	r.tokens[count.Runner] = count.Tokens
}

// addTokens adds the tokens of a report to the sums, or subtracts them if sign is -1. The caller holds the mutex.
func (l *Ledger) addTokens(entry *nodeReport, sign int) {
	for runner, tokens := range entry.tokens {
		l.tokens[runner] += sign * tokens
		if l.tokens[runner] == 0 {
			delete(l.tokens, runner)
		}
	}
}

// Tokens returns the tokens of the online work at a runner of all nodes except the one named, which may be empty.
func (l *Ledger) Tokens(runner ident.Incarnation, except ident.Node, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	tokens := l.tokens[runner]
	if entry := l.nodes[except]; entry != nil && entry.counted {
		tokens -= entry.tokens[runner]
	}
	return tokens
}
