package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/lab/kvsim"
	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	// leaveRate is the default online load, in requests per second: many calls to every engine each second.
	leaveRate = 60
	// leaveLook is the time between looks at the engine that leaves.
	leaveLook = 100 * time.Millisecond
	// leaveEpoch is above any epoch that a run reaches.
	leaveEpoch = 1 << 50
)

// leaveWay is a way in which the fleet may learn that a runner leaves.
type leaveWay struct {
	name string
	// outage says that the key-value service is away meanwhile.
	outage bool
	mark   func(ctx context.Context, started *fleet.Fleet, engine fleet.Engine) error
}

func leaveWays() []leaveWay {
	return []leaveWay{
		{"machine_list", false, markInMachineList},
		{"drain", false, markByDrain},
		{"engine_order", false, markByOrder},
		{"machine_list_kv_outage", true, markInMachineList},
	}
}

// runLeave marks one runner as leaving under load and measures how long calls still come to it, from any node.
func runLeave(ctx context.Context, environment *environment) (Measurement, error) {
	fields := Fields{}
	for _, way := range leaveWays() {
		watched := &leaveWatch{way: way, after: environment.options.Duration / 2}
		_, err := environment.runPhase(ctx, phase{
			name:   "leave_" + way.name,
			nodes:  true,
			load:   load.Options{Rate: environment.rate(leaveRate)},
			during: watched.run,
		})
		if err != nil {
			return Measurement{}, err
		}
		if watched.marked.IsZero() {
			continue
		}
		fields["leave_"+way.name+"_last_call_ms"] = watched.delay(watched.last.LastCall)
		fields["leave_"+way.name+"_last_taken_ms"] = watched.delay(watched.last.LastTaken)
	}
	return Measurement{Fields: fields}, nil
}

// leaveWatch marks an engine and follows the calls to it until the load ends.
type leaveWatch struct {
	way    leaveWay
	after  time.Duration
	marked time.Time
	last   enginesim.Counters
}

// delay returns how long after the mark something happened, in milliseconds; zero if before it.
func (w *leaveWatch) delay(at time.Time) float64 {
	return max(0, float64(at.Sub(w.marked))/float64(time.Millisecond))
}

func (w *leaveWatch) run(ctx context.Context, started *fleet.Fleet) error {
	if !sleep(ctx, w.after) {
		return nil
	}
	leaving := started.Engines[0]
	if w.way.outage {
		if err := stopKeyValueService(ctx, started); err != nil {
			return err
		}
	}
	w.marked = time.Now()
	if err := w.way.mark(ctx, started, leaving); err != nil {
		return fmt.Errorf("marking %s: %w", leaving.ID, err)
	}
	for sleep(ctx, leaveLook) {
		var latest enginesim.Counters
		if err := getJSON(ctx, "http://"+leaving.Fault+"/counters", &latest); err == nil {
			w.last = latest
		}
	}
	return nil
}

func stopKeyValueService(ctx context.Context, started *fleet.Fleet) error {
	faults, err := json.Marshal(kvsim.Faults{Outage: kvsim.OutageHang})
	if err != nil {
		return fmt.Errorf("encoding faults: %w", err)
	}
	if err := send(ctx, http.MethodPut, "http://"+started.KV.Fault+"/faults", string(faults), ""); err != nil {
		return fmt.Errorf("stopping the key-value service: %w", err)
	}
	return nil
}

func markInMachineList(ctx context.Context, started *fleet.Fleet, leaving fleet.Engine) error {
	return send(ctx, http.MethodPost, "http://"+started.Machines.Fault+"/machines/"+leaving.ID+"/leaving", "", "")
}

func markByDrain(ctx context.Context, started *fleet.Fleet, leaving fleet.Engine) error {
	manifest := fmt.Sprintf("kind: drains\nspec: {name: runner/%s, reason: experiment}\n", leaving.ID)
	return sendBy(ctx, started.Client(), http.MethodPost, started.AdminURL(started.Nodes[0])+"/admin/v1/apply?overwrite=true", manifest, adminKey)
}

func markByOrder(ctx context.Context, _ *fleet.Fleet, leaving fleet.Engine) error {
	order, err := json.Marshal(dialect.Order{Kind: string(engine.OrderLeave), Epoch: leaveEpoch, Node: "lab"})
	if err != nil {
		return fmt.Errorf("encoding order: %w", err)
	}
	return send(ctx, http.MethodPost, "http://"+leaving.Address+dialect.PathOrders, string(order), "")
}

// send makes one call and returns an error unless it succeeds.
func send(ctx context.Context, method, url, body, key string) error {
	return sendBy(ctx, http.DefaultClient, method, url, body, key)
}

// sendBy is send by a client that trusts the fleet's certificates.
func sendBy(ctx context.Context, client *http.Client, method, url, body, key string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return fmt.Errorf("calling %s: %w", url, err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("Content-Type", contentTypeOf(body))
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("calling %s: %w", url, err)
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%w: %s answered %d: %.300s", ErrSetup, url, response.StatusCode, content)
	}
	return nil
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// contentTypeOf tells a JSON body from a YAML manifest.
func contentTypeOf(body string) string {
	if json.Valid([]byte(body)) {
		return "application/json"
	}
	return "application/yaml"
}
