package kvsim

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// leaseExpiryPeriod is how often a watch looks for lapsed leases while nothing else happens.
const leaseExpiryPeriod = 250 * time.Millisecond

// watchMessage wraps one message of a watch's stream.
type watchMessage struct {
	Result etcdwire.WatchResponse `json:"result"`
}

func (s *Server) serveWatch(writer http.ResponseWriter, request bunrouter.Request) error {
	if !s.faults.admit(writer, request.Request) {
		return nil
	}
	var decoded etcdwire.WatchRequest
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes)).Decode(&decoded)
	if err != nil || decoded.Create == nil {
		writeError(writer, etcdwire.Error{Code: etcdwire.CodeInvalidArgument, Message: "want a create_request"})
		return nil
	}
	stream := &watchStream{
		server:  s,
		client:  clientOf(request.Request),
		start:   string(decoded.Create.Key),
		end:     string(decoded.Create.RangeEnd),
		writer:  writer,
		encoder: json.NewEncoder(writer),
	}
	stream.run(request.Context(), decoded.Create.StartRevision)
	return nil
}

// watchStream is one watch of one client.
type watchStream struct {
	server  *Server
	client  string
	start   string
	end     string
	writer  http.ResponseWriter
	encoder *json.Encoder
}

// run sends events from startRevision on until the client goes, a fault drops the watch, or it is compacted.
func (w *watchStream) run(ctx context.Context, startRevision int64) {
	dropped := w.server.faults.watchDropped()
	revision := startRevision - 1
	if startRevision == 0 {
		revision = w.server.data.Revision()
	}
	w.writer.Header().Set("Content-Type", "application/json")
	w.send(etcdwire.WatchResponse{Header: w.server.header(), Created: true})
	ticker := time.NewTicker(leaseExpiryPeriod)
	defer ticker.Stop()
	for {
		changed := w.server.data.Changed()
		if !w.server.faults.cutOff(w.client) {
			next, done := w.sendAfter(revision)
			if done {
				return
			}
			revision = next
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-dropped:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return
		}
	}
}

// sendAfter sends the events after the revision and returns the revision reached, or done if the watch is over.
func (w *watchStream) sendAfter(revision int64) (reached int64, done bool) {
	events, current, err := w.server.data.EventsAfter(w.start, w.end, revision)
	if err != nil {
		w.send(etcdwire.WatchResponse{
			Header:          etcdwire.Header{Revision: current},
			Canceled:        true,
			CompactRevision: w.server.data.CompactedRevision() + 1,
		})
		return revision, true
	}
	if len(events) > 0 {
		w.send(etcdwire.WatchResponse{Header: etcdwire.Header{Revision: current}, Events: watchEventsOf(events)})
	}
	return max(revision, current), false
}

func watchEventsOf(events []kvtest.Event) []etcdwire.WatchEvent {
	wire := make([]etcdwire.WatchEvent, 0, len(events))
	for _, event := range events {
		converted := etcdwire.WatchEvent{Kv: keyValueOf(event)}
		if event.Deleted {
			converted.Type = etcdwire.EventDelete
		}
		wire = append(wire, converted)
	}
	return wire
}

func (w *watchStream) send(response etcdwire.WatchResponse) {
	// A client that has gone ends the request's context.
	_ = w.encoder.Encode(watchMessage{Result: response})
	_ = http.NewResponseController(w.writer).Flush()
}
