package jobpeer

import "slices"

// maxDenials is how many workers that know of no holder of a job are asked: a job that was just accepted, or a claim that just
// moved, reaches the workers one after the other.
const maxDenials = 3

// holderSearch is the search for the worker that holds a job. Workers are asked one after the other; one that does not hold the
// job names the holder, so that the number of calls does not grow with the workers. Workers of earlier builds name none, and
// are all asked.
type holderSearch struct {
	// left are the addresses of the workers to ask, in order.
	left []string
	// asked are the addresses that were returned by next.
	asked []string
	// denials counts the answers that named no worker that is still to be asked.
	denials int
}

// next returns the address of the worker to ask now, or false if the search is over.
func (s *holderSearch) next() (string, bool) {
	if len(s.left) == 0 || s.denials >= maxDenials {
		return "", false
	}
	address := s.left[0]
	s.left = s.left[1:]
	s.asked = append(s.asked, address)
	return address, true
}

// applyUnsure records the answer of a worker that does not hold the job. The worker that it names is asked next.
func (s *holderSearch) applyUnsure(reply *ResultsReply) {
	switch {
	case reply.Holder != "" && !slices.Contains(s.asked, reply.Holder):
		others := slices.DeleteFunc(s.left, func(other string) bool { return other == reply.Holder })
		s.left = append([]string{reply.Holder}, others...)
	case reply.Holder != "" || reply.NoHolder:
		s.denials++
	}
}
