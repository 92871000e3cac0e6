package request

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the length of a token that estimates assume.
	bytesPerToken = 4
	// blockBytes is the length of a prefix block: 64 tokens, the block of the engines' prefix cache.
	blockBytes = 64 * bytesPerToken
	// maximumBlocks bounds the hashes kept of one prompt; what follows does not count for routing.
	maximumBlocks = 1024
)

// promptHash counts the bytes of a prompt and hashes its successive whole blocks, each covering all before it. It
// never holds the text.
type promptHash struct {
	digest   xxhash.Digest
	blocks   []uint64
	length   int
	inBlock  int
	previous [8]byte
}

func newPromptHash() *promptHash {
	prompt := &promptHash{}
	prompt.begin()
	return prompt
}

// begin starts a block with the hash of the block before it.
func (p *promptHash) begin() {
	p.digest.Reset()
	_, _ = p.digest.Write(p.previous[:])
	p.inBlock = 0
}

func (p *promptHash) writeTexts(texts []string) {
	for _, text := range texts {
		p.writeString(text)
	}
}

func (p *promptHash) writeString(text string) {
	p.length += len(text)
	for len(text) > 0 && len(p.blocks) < maximumBlocks {
		taken := min(len(text), blockBytes-p.inBlock)
		_, _ = p.digest.WriteString(text[:taken])
		p.inBlock += taken
		text = text[taken:]
		if p.inBlock == blockBytes {
			p.end()
		}
	}
}

func (p *promptHash) end() {
	sum := p.digest.Sum64()
	p.blocks = append(p.blocks, sum)
	binary.LittleEndian.PutUint64(p.previous[:], sum)
	p.begin()
}

// tokens estimates the length of the prompt, in tokens.
func (p *promptHash) tokens() int { return (p.length + bytesPerToken - 1) / bytesPerToken }
