package enginesim

import (
	"strconv"
	"strings"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// What Check finds wrong with an answer.
const (
	// ErrCut means the answer is a proper prefix of the right one.
	ErrCut = failure.Kind("answer is cut")
	// ErrGap means tokens of the right answer are missing, doubled or out of order.
	ErrGap = failure.Kind("answer has a gap or duplicate")
	// ErrForeign means the answer holds tokens of another answer or another run.
	ErrForeign = failure.Kind("answer holds foreign tokens")
)

const (
	tokenDigits = 8
	nonceMark   = " run-"
)

// appendToken appends token k of the answer with the given digest. The first token of a sampled run names the run.
func appendToken(buffer []byte, digest, nonce uint64, k int) []byte {
	if nonce != 0 && k == 0 {
		buffer = append(buffer, nonceMark...)
		return strconv.AppendUint(buffer, nonce, 16)
	}
	const hexadecimal = "0123456789abcdef"
	value := mix(digest ^ mix(nonce+uint64(k)))
	buffer = append(buffer, ' ')
	for digit := 0; digit < tokenDigits; digit++ {
		buffer = append(buffer, hexadecimal[value&15])
		value >>= 4
	}
	return buffer
}

// Expected returns the first n tokens of the answer to a request body, as one text. A body that does not parse gives
// an empty text. Bodies that ask for sampling have no expected answer; use Check.
func Expected(body []byte, n int) string {
	prompt, err := ParsePrompt(body)
	if err != nil {
		return ""
	}
	return string(appendTokens(nil, prompt.Digest, 0, n))
}

func appendTokens(buffer []byte, digest, nonce uint64, n int) []byte {
	for k := 0; k < n; k++ {
		buffer = appendToken(buffer, digest, nonce, k)
	}
	return buffer
}

// Check compares a whole answer with the one the body asks for. It returns nil, ErrCut, ErrGap, ErrForeign, or an
// error wrapping ErrBadBody.
func Check(body []byte, answer string) error {
	prompt, err := ParsePrompt(body)
	if err != nil {
		return err
	}
	nonce := nonceOf(prompt, answer)
	expected := string(appendTokens(nil, prompt.Digest, nonce, prompt.AnswerTokens))
	if answer == expected {
		return nil
	}
	if strings.HasPrefix(expected, answer) {
		return ErrCut
	}
	return classify(expected, answer)
}

func nonceOf(prompt Prompt, answer string) uint64 {
	if !prompt.Sampled || !strings.HasPrefix(answer, nonceMark) {
		return 0
	}
	digits, _, _ := strings.Cut(answer[len(nonceMark):], " ")
	nonce, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return 0
	}
	return nonce
}

func classify(expected, answer string) error {
	known := map[string]bool{}
	for _, token := range strings.Fields(expected) {
		known[token] = true
	}
	for _, token := range strings.Fields(answer) {
		if !known[token] {
			return ErrForeign
		}
	}
	return ErrGap
}
