package event_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/event"
)

func TestEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), event.Markdown(), "run: go run ./cmd/mallowlatch events -o markdown > docs/EVENTS.md")
}

func TestEveryEventHasMeaningAndAction(t *testing.T) {
	names := map[string]int{}
	for _, registered := range event.All() {
		assert.Assert(t, registered.Name != "" && registered.Meaning != "" && registered.Action != "", "%+v", registered)
		other, taken := names[registered.Name]
		assert.Assert(t, !taken, "%s is the name of %d and %d", registered.Name, other, registered.Number)
		names[registered.Name] = registered.Number
	}
}
