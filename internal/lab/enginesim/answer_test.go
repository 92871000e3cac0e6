package enginesim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func bodyFor(prompt string, tokens int) []byte {
	quoted, _ := json.Marshal(prompt)
	return fmt.Appendf(nil, `{"model":"base","messages":[{"role":"user","content":%s}],"max_tokens":%d,"min_tokens":%d}`,
		quoted, tokens, tokens)
}

func TestCheckFindsEveryDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(3, 40).Draw(t, "tokens")
		body := bodyFor(rapid.String().Draw(t, "prompt"), tokens)
		answer := Expected(body, tokens)
		assert.NilError(t, Check(body, answer))
		words := strings.Fields(answer)
		join := func(words []string) string { return " " + strings.Join(words, " ") }
		at := rapid.IntRange(1, tokens-2).Draw(t, "at")
		assert.ErrorIs(t, Check(body, join(words[:at])), ErrCut)
		gap := append(append([]string{}, words[:at]...), words[at+1:]...)
		assert.ErrorIs(t, Check(body, join(gap)), ErrGap)
		doubled := append(append([]string{}, words[:at+1]...), words[at:]...)
		assert.ErrorIs(t, Check(body, join(doubled)), ErrGap)
		other := strings.Fields(Expected(bodyFor("another", tokens), tokens))
		foreign := append(append([]string{}, words[:at]...), other[at:]...)
		assert.ErrorIs(t, Check(body, join(foreign)), ErrForeign)
	})
}

func TestSampledAnswersDifferBetweenRuns(t *testing.T) {
	body := []byte(`{"model":"base","prompt":"p","temperature":1,"max_tokens":5}`)
	prompt, err := ParsePrompt(body)
	assert.NilError(t, err)
	first := string(appendTokens(nil, prompt.Digest, 11, 5))
	second := string(appendTokens(nil, prompt.Digest, 12, 5))
	assert.NilError(t, Check(body, first))
	assert.NilError(t, Check(body, second))
	spliced := strings.Join(append(strings.Fields(first)[:3], strings.Fields(second)[3:]...), " ")
	assert.ErrorIs(t, Check(body, " "+spliced), ErrForeign)
}
