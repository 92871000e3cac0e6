package fleet_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

// answered serves the given answers in turn, and notes the calls.
func answered(t *testing.T, calls *[]string, answers ...string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		number := len(*calls)
		*calls = append(*calls, request.Method+" "+request.URL.Path)
		if number >= len(answers) || answers[number] == "" {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if strings.HasPrefix(answers[number], "refuse") {
			writer.WriteHeader(http.StatusBadRequest)
		}
		_, _ = writer.Write([]byte(answers[number]))
	}))
	t.Cleanup(server.Close)
	return server
}

func TestApplyWaitsUntilInForce(t *testing.T) {
	var calls []string
	server := answered(t, &calls,
		"", // The node is starting.
		`{"accepted":true,"revision":4}`, `{"revision":4,"in_force":false}`,
		`{"accepted":false,"revision":4}`, `{"revision":4,"in_force":true}`,
	)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(t, fleet.Apply(ctx, server.Client(), server.URL, "key", nil))
	write, status := "POST /admin/v1/apply", "GET /admin/v1/status/configuration"
	assert.DeepEqual(t, calls, []string{write, write, status, write, status})
}

func TestApplyGivesUpOnARefusal(t *testing.T) {
	var calls []string
	server := answered(t, &calls, "refused")
	err := fleet.Apply(context.Background(), server.Client(), server.URL, "key", nil)
	assert.ErrorIs(t, err, fleet.ErrRefused)
	assert.Equal(t, len(calls), 1)
}
