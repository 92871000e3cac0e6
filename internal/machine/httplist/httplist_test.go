package httplist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/machinesim"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/machine/httplist"
)

func TestListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	service := machinesim.New(3*time.Second, func() time.Time { return now })
	listener := httptest.NewServer(service.Handler())
	defer listener.Close()
	faults := httptest.NewServer(service.FaultHandler())
	defer faults.Close()
	lister := httplist.New(listener.URL+machinesim.PathMachines, nil)
	order := func(method, path, body string) {
		request, err := http.NewRequest(method, faults.URL+path, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusNoContent)
	}
	read := func() machine.List {
		list, err := lister.List(context.Background())
		assert.NilError(t, err)
		return list
	}

	order(http.MethodPut, "/machines/r1", `{"zone":"palermo","address":"127.0.0.1:1"}`)
	now = now.Add(2 * time.Second)
	order(http.MethodPost, "/machines/r1/leaving", "")
	assert.DeepEqual(t, read(), machine.List{})
	now = now.Add(1 * time.Second)
	assert.DeepEqual(t, read(), machine.List{Version: 1, Runners: []machine.Runner{
		{ID: "r1", Zone: "palermo", Address: "127.0.0.1:1", State: machine.Live},
	}})
	now = now.Add(2 * time.Second)
	assert.Equal(t, read().Runners[0].State, machine.Leaving)

	order(http.MethodPut, "/faults", `{"lag_ms":0,"frozen":true}`)
	order(http.MethodDelete, "/machines/r1", "")
	assert.Equal(t, len(read().Runners), 1)
	order(http.MethodPut, "/faults", `{"outage":true}`)
	_, err := lister.List(context.Background())
	assert.ErrorIs(t, err, machine.ErrUnavailable)
}
