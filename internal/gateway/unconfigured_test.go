package gateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

// TestNodeWithoutConfigurationCallsNoKeyWrong keeps a failure of a fleet of processes: a node that restarted while the
// key-value service was away answered a good key with invalid_api_key, and the client gave up.
func TestNodeWithoutConfigurationCallsNoKeyWrong(t *testing.T) {
	built := newSite(t, nil, func(options *Options) { options.Source = staticSource{catalog.Empty()} })
	request, err := http.NewRequest(http.MethodPost, built.server.URL+"/v1/chat/completions", strings.NewReader("{}"))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}
