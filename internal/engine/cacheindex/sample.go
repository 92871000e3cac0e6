package cacheindex

import "slices"

// maxTombstones bounds the remembered removals. A reader that has missed more starts anew.
const maxTombstones = 1024

// change is the last thing that happened to a block.
type change struct {
	position uint64
	stored   bool
}

// logged is a change of a block in the log; it counts only while it is the block's last.
type logged struct {
	position uint64
	block    uint64
}

// sample is a set of blocks with a log of its changes, from which a reader can catch up. Positions number the changes of
// one epoch from one.
//
// Invariants: at most MaxBlocks blocks are held and at most about twice MaxBlocks+maxTombstones changes are logged; every
// held block is in the log once with its last change, and so is every removal after floor.
type sample struct {
	epoch    uint32
	bits     uint
	position uint64
	// last holds the last change of every held block and of every block whose removal is remembered.
	last map[uint64]change
	held int
	log  []logged
	// floor is the position of the newest removal that is forgotten.
	floor uint64
}

func newSample(epoch uint32, bits uint) sample {
	return sample{epoch: epoch, bits: bits, last: map[uint64]change{}}
}

// sampled reports whether a sample of so many bits holds the block if it is cached.
func sampled(block uint64, bits uint) bool { return block&(1<<bits-1) == 0 }

// has reports whether the block is held.
func (s *sample) has(block uint64) bool { return s.last[block].stored }

// set makes the block held or not.
func (s *sample) set(block uint64, stored bool) {
	if !sampled(block, s.bits) || s.has(block) == stored {
		return
	}
	s.position++
	s.last[block] = change{position: s.position, stored: stored}
	s.log = append(s.log, logged{position: s.position, block: block})
	if stored {
		s.held++
	} else {
		s.held--
	}
	s.bound()
}

// replace makes exactly the given blocks held, as far as they are sampled. The last of them are logged first: a listing
// ends with the blocks used last.
func (s *sample) replace(blocks []uint64) {
	listed := make(map[uint64]bool, len(blocks))
	for _, block := range blocks {
		listed[block] = true
	}
	for _, entry := range slices.Clone(s.log) {
		if s.has(entry.block) && !listed[entry.block] {
			s.set(entry.block, false)
		}
	}
	for _, block := range slices.Backward(blocks) {
		s.set(block, true)
	}
}

// bound keeps the sample within its limits.
func (s *sample) bound() {
	for s.held > MaxBlocks {
		s.halve()
	}
	if len(s.log) > 2*(MaxBlocks+maxTombstones) {
		s.compact()
	}
}

// halve drops the blocks that are not in the next smaller sample. It begins an epoch, since readers hold the larger one.
func (s *sample) halve() {
	smaller := newSample(s.epoch+1, s.bits+1)
	for _, entry := range s.log {
		if s.current(entry) && s.has(entry.block) {
			smaller.set(entry.block, true)
		}
	}
	*s = smaller
}

// current reports whether the logged change is the block's last.
func (s *sample) current(entry logged) bool { return s.last[entry.block].position == entry.position }

// compact drops changes that later ones have overtaken, and the oldest removals beyond maxTombstones.
func (s *sample) compact() {
	s.log = slices.DeleteFunc(s.log, func(entry logged) bool { return !s.current(entry) })
	excess := len(s.log) - s.held - maxTombstones
	s.log = slices.DeleteFunc(s.log, func(entry logged) bool {
		if excess <= 0 || s.has(entry.block) {
			return false
		}
		excess--
		s.floor = entry.position
		delete(s.last, entry.block)
		return true
	})
}
