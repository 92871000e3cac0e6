package shardlog

import (
	"encoding/binary"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// The first byte of each key says what it holds; big-endian numbers follow, so that keys sort as their numbers do.
const (
	spaceIdentity = 'i'
	// spaceHard + shard → shard.HardState as JSON.
	spaceHard = 'h'
	// spaceMeta + shard → meta.
	spaceMeta = 'm'
	// spaceApplied + shard + generation → applied index.
	spaceApplied = 'a'
	// spaceLog + shard + index → term and command.
	spaceLog = 'l'
	// spaceState + shard + generation + key → value of the state machine.
	spaceState = 's'
)

const (
	numberBytes = 8
	termBytes   = 2 * numberBytes
)

func shardKey(space byte, id ident.Shard) []byte {
	return binary.BigEndian.AppendUint32([]byte{space}, uint32(id))
}

func numberedKey(space byte, id ident.Shard, number uint64) []byte {
	return binary.BigEndian.AppendUint64(shardKey(space, id), number)
}

// stateKey prefixes a key of the state machine.
func stateKey(prefix, key []byte) []byte {
	joined := make([]byte, 0, len(prefix)+len(key))
	joined = append(joined, prefix...)
	return append(joined, key...)
}

// after returns the first key behind all keys with the prefix.
func after(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for position := len(end) - 1; position >= 0; position-- {
		end[position]++
		if end[position] != 0 {
			return end[:position+1]
		}
	}
	return nil
}

func encodeEntry(entry shard.Entry) []byte {
	value := make([]byte, 0, termBytes+len(entry.Command))
	value = appendTerm(value, entry.Term)
	return append(value, entry.Command...)
}

func appendTerm(buffer []byte, term shard.Term) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, term.Epoch)
	return binary.BigEndian.AppendUint64(buffer, term.Round)
}

func decodeTerm(value []byte) (shard.Term, error) {
	if len(value) < termBytes {
		return shard.Term{}, fmt.Errorf("term of %d bytes: %w", len(value), ErrCorrupt)
	}
	return shard.Term{
		Epoch: binary.BigEndian.Uint64(value),
		Round: binary.BigEndian.Uint64(value[numberBytes:]),
	}, nil
}

func decodeNumber(value []byte) (uint64, error) {
	if len(value) != numberBytes {
		return 0, fmt.Errorf("number of %d bytes: %w", len(value), ErrCorrupt)
	}
	return binary.BigEndian.Uint64(value), nil
}

// meta is where the log starts and which generation of the state counts.
type meta struct {
	generation uint64
	base       uint64
	baseTerm   shard.Term
}

func (m meta) encode() []byte {
	value := binary.BigEndian.AppendUint64(nil, m.generation)
	value = binary.BigEndian.AppendUint64(value, m.base)
	return appendTerm(value, m.baseTerm)
}

func decodeMeta(value []byte) (meta, error) {
	if len(value) != 2*numberBytes+termBytes {
		return meta{}, fmt.Errorf("meta of %d bytes: %w", len(value), ErrCorrupt)
	}
	term, err := decodeTerm(value[2*numberBytes:])
	return meta{
		generation: binary.BigEndian.Uint64(value),
		base:       binary.BigEndian.Uint64(value[numberBytes:]),
		baseTerm:   term,
	}, err
}
