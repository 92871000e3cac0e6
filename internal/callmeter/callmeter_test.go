package callmeter_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/callmeter"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
)

// echo answers each call with its request.
type echo struct{ drpc.Conn }

func (echo) Invoke(_ context.Context, _ string, encoding drpc.Encoding, in, out drpc.Message) error {
	encoded, err := encoding.Marshal(in)
	if err != nil {
		return err
	}
	return encoding.Unmarshal(encoded, out)
}

func TestCallsAreCountedByKindAndZone(t *testing.T) {
	zones := map[string]ident.Zone{"near": "a", "far": "b"}
	meter := &callmeter.Meter{Zone: "a", ZoneOf: func(address string) (ident.Zone, bool) { zone, known := zones[address]; return zone, known }}
	connect := meter.Wrap(func(string) (drpc.Conn, error) { return echo{}, nil })
	for _, address := range []string{"near", "near", "far", "other"} {
		connection, err := connect(address)
		assert.NilError(t, err)
		var answer string
		assert.NilError(t, connection.Invoke(context.Background(), "/m", jsoncall.Encoding{}, "four", &answer))
	}
	once := callmeter.Count{Calls: 1, Sent: 6, Received: 6}
	assert.DeepEqual(t, meter.Take(), map[string]callmeter.Count{
		"/m": {Calls: 2, Sent: 12, Received: 12}, "/m far": once, "/m unknown": once,
	})
	assert.Equal(t, len(meter.Take()), 0)
}
