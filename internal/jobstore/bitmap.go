package jobstore

import "math/bits"

const wordBits = 64

// bitmap is a set of item indexes, one bit each.
type bitmap []uint64

func newBitmap(size uint32) bitmap {
	return make(bitmap, (size+wordBits-1)/wordBits)
}

func (b bitmap) has(index uint32) bool {
	return b[index/wordBits]&(1<<(index%wordBits)) != 0
}

func (b bitmap) add(index uint32) {
	b[index/wordBits] |= 1 << (index % wordBits)
}

func (b bitmap) remove(index uint32) {
	b[index/wordBits] &^= 1 << (index % wordBits)
}

// orBytes adds the bits of a stored block that begins at the given item, a multiple of wordBits.
func (b bitmap) orBytes(first uint32, block []byte) {
	for position, octet := range block {
		index := first + uint32(position)*8
		if octet == 0 || index/wordBits >= uint32(len(b)) {
			continue
		}
		b[index/wordBits] |= uint64(octet) << (index % wordBits)
	}
}

// nextClear returns the first index in [from, end) that is not in the set, or end. It looks at a word at a time.
func (b bitmap) nextClear(from, end uint32) uint32 {
	for from < end {
		word := ^b[from/wordBits] >> (from % wordBits)
		if word != 0 {
			return min(end, from+uint32(bits.TrailingZeros64(word)))
		}
		from = (from/wordBits + 1) * wordBits
	}
	return end
}

// count returns the number of indexes in [from, end) that are in the set.
func (b bitmap) count(from, end uint32) int {
	total := 0
	for from < end {
		next := min(end, (from/wordBits+1)*wordBits)
		word := b[from/wordBits] >> (from % wordBits)
		word &= ^uint64(0) >> (wordBits - (next - from))
		total += bits.OnesCount64(word)
		from = next
	}
	return total
}
