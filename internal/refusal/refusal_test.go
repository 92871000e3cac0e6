package refusal_test

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/refusal"
)

const (
	errPlaces = failure.Kind("places")
	errState  = failure.Kind("state")
	errForm   = failure.Kind("form")
)

// TestRefusalReportedOnlyOnChange records the same values repeatedly and checks that only changes are reported.
func TestRefusalReportedOnlyOnChange(t *testing.T) {
	var reports []string
	refusals := &refusal.Tracker{OnChange: func(key string, err error, total int) {
		reports = append(reports, fmt.Sprint(key, " ", err, " ", total))
	}}
	for _, reading := range []map[string]error{
		{"runners/a": errPlaces}, {"runners/a": errPlaces}, {"runners/a": errState, "runners/b": errForm}, {"runners/b": errForm}, {}, {},
	} {
		refusals.RecordAll("runners/", maps.Clone(reading))
	}
	assert.Equal(t, len(reports), 5, reports)
	refusals.Record("orders/config", errForm)
	refusals.RecordAll("runners/", nil)
	refusals.Record("orders/config", errForm)
	refusals.Record("orders/config", nil)
	assert.Equal(t, len(reports), 7, reports)
}
