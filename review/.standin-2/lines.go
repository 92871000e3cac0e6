package main

import (
	"fmt"
	"strings"
	"time"
)

// playLines: the output of items has paragraphs, so that the data of some events begins with an empty line.
func playLines(s *site) bool {
	const events, count = 9, 8
	s.configure(batchRoute(), streamRoute())
	flags := []string{"--events", fmt.Sprint(events)}
	if s.trouble {
		flags = append(flags, "--paragraphs")
	}
	s.small(flags...)
	if !s.submit("lines", items("lines", count, nil)) {
		s.fail("the job was not taken")
	}
	found, _ := s.results("lines", count, 20*time.Second)
	if len(found) < count {
		s.fail("%d of %d items are listed", len(found), count)
	}
	broken := false
	for _, listed := range found {
		var whole []string
		for position := 1; position <= events; position++ {
			data := eventData(listed.ID, position, 0, false)
			if s.trouble && beginsParagraph(position) {
				data = "\n" + data
			}
			whole = append(whole, data)
		}
		expected := strings.Join(whole, "\n")
		s.note("item %s: %s, %d of %d bytes: %q", listed.ID, listed.State, len(listed.Text), len(expected), listed.Text)
		broken = broken || listed.State == "completed" && listed.Text != expected
	}
	return broken
}
