package work

// SameList reports whether two lists, neither of them empty, are the same in memory. It is for lists that are never changed
// once they are passed on, and takes the same time at any length.
func SameList[E any](first, second []E) bool {
	return len(first) > 0 && len(first) == len(second) && &first[0] == &second[0]
}
