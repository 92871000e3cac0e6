package shardtest

import (
	"bytes"
	"sort"

	"mallowlatch.example/mallowlatch/internal/shard"
)

// State is an ordered key-value map in memory.
type State struct {
	keys   []string
	values map[string][]byte
}

var _ shard.Transaction = (*State)(nil)

// NewState returns an empty state.
func NewState() *State { return &State{values: map[string][]byte{}} }

// Get returns a copy of the value, or nil.
func (s *State) Get(key []byte) ([]byte, error) {
	value, found := s.values[string(key)]
	if !found {
		return nil, nil
	}
	return append([]byte{}, value...), nil
}

// Scan visits the keys in [start, end) in order. A nil end means no bound. visit may change the state.
func (s *State) Scan(start, end []byte, visit func(key, value []byte) bool) error {
	first, last := s.bounds(start, end)
	inRange := append([]string(nil), s.keys[first:last]...)
	for _, key := range inRange {
		value, found := s.values[key]
		if found && !visit([]byte(key), value) {
			return nil
		}
	}
	return nil
}

// Set stores a copy of the value.
func (s *State) Set(key, value []byte) error {
	name := string(key)
	if _, found := s.values[name]; !found {
		position := sort.SearchStrings(s.keys, name)
		s.keys = append(s.keys, "")
		copy(s.keys[position+1:], s.keys[position:])
		s.keys[position] = name
	}
	s.values[name] = append([]byte{}, value...)
	return nil
}

// Delete removes the key.
func (s *State) Delete(key []byte) error {
	name := string(key)
	if _, found := s.values[name]; !found {
		return nil
	}
	delete(s.values, name)
	position := sort.SearchStrings(s.keys, name)
	s.keys = append(s.keys[:position], s.keys[position+1:]...)
	return nil
}

// DeleteRange removes the keys in [start, end).
func (s *State) DeleteRange(start, end []byte) error {
	first, last := s.bounds(start, end)
	for _, key := range s.keys[first:last] {
		delete(s.values, key)
	}
	s.keys = append(s.keys[:first], s.keys[last:]...)
	return nil
}

func (s *State) bounds(start, end []byte) (first, last int) {
	first = sort.SearchStrings(s.keys, string(start))
	last = len(s.keys)
	if end != nil {
		last = sort.SearchStrings(s.keys, string(end))
	}
	return first, max(first, last)
}

// Clone returns an independent copy.
func (s *State) Clone() *State {
	copied := &State{keys: append([]string(nil), s.keys...), values: make(map[string][]byte, len(s.values))}
	for key, value := range s.values {
		copied.values[key] = append([]byte{}, value...)
	}
	return copied
}

// Equal reports whether both hold the same keys and values.
func (s *State) Equal(other *State) bool {
	if len(s.keys) != len(other.keys) {
		return false
	}
	for key, value := range s.values {
		if !bytes.Equal(value, other.values[key]) {
			return false
		}
	}
	return true
}
