package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// weights is the version of the weights of all runners.
const weights = "1"

// seal is the signature that a runner puts into its answers.
func seal(id string) string { return "3e1b.07.5a2.600.0." + id }

// eventText is the data of the event at a position of a request's stream.
func eventText(id string, position int) string { return fmt.Sprintf("%s/%d", id, position) }

// wholeText is the whole output of a request.
func wholeText(id string, events int) string {
	lines := make([]string, 0, events)
	for position := 1; position <= events; position++ {
		lines = append(lines, eventText(id, position))
	}
	return strings.Join(lines, "\n")
}

// eventsOf returns the number of events of the answer to a request, which is the same at all runners.
func (r *runner) eventsOf(id string) int {
	if r.spread == 0 {
		return r.events
	}
	return r.events + int(crc32.ChecksumIEEE([]byte(id))%uint32(r.spread))
}

// run is a request that a runner has begun.
type run struct {
	id      string
	resume  int
	began   time.Time
	ended   time.Time
	status  int
	aborted bool
	runner  string
}

// runner is a sound model runner as PROTOCOL.md describes one: it works on slots requests at once, rejects what is beyond that as
// not run, checks X-Mallowlatch-Expect-Instance, drops a request whose connection closes, and goes on after Last-Event-Id.
type runner struct {
	id, service, zone string
	slots             int
	// events is the least number of events of an answer, spread by how many more some have.
	events, spread int
	interval       time.Duration
	record         *record
	listener       net.Listener

	mutex    sync.Mutex
	runs     []*run
	running  int
	sequence int
	closed   bool
	conns    map[net.Conn]bool
}

func startRunner(r *runner) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.conns = listener, map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mutex.Lock()
			r.conns[conn] = true
			r.mutex.Unlock()
			go r.serve(conn)
		}
	}()
	return nil
}

func (r *runner) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// entry is the runner's entry in the registry.
func (r *runner) entry() map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "1", "slots": r.slots, "state": "ready",
		"warmupLeftMs": 0, "sequence": r.sequence,
	}
}

func (r *runner) serve(conn net.Conn) {
	defer func() {
		r.mutex.Lock()
		delete(r.conns, conn)
		r.mutex.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(conn, request) {
			return
		}
	}
}

func plain(conn net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err == nil
}

func (r *runner) load() string {
	return fmt.Sprintf("X-Mallowlatch-Server-Load: %d,0,%d\r\n", r.running, r.slots)
}

func (r *runner) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Mallowlatch-Request-Id")
	back := "X-Mallowlatch-Request-Id: " + id + "\r\n"
	expected := request.Header.Get("X-Mallowlatch-Expect-Instance")
	pinned := request.Header.Get("X-Mallowlatch-Expect-Version")
	switch {
	case request.URL.Path == "/mallowlatch/report":
		return r.report(conn)
	case request.URL.Path == "/health":
		return plain(conn, http.StatusOK, "X-Mallowlatch-Instance-Id: "+r.id+"\r\n", "")
	case id == "":
		return plain(conn, http.StatusBadRequest, "X-Mallowlatch-Not-Run: 1\r\n", "")
	case expected != "" && expected != r.id:
		return plain(conn, http.StatusMisdirectedRequest, back+"X-Mallowlatch-Not-Run: 1\r\n", "")
	case pinned != "" && pinned != weights:
		r.record.write("runner %s answers 421 to %s, which expects weights %s", r.id, id, pinned)
		return plain(conn, http.StatusMisdirectedRequest, back+"X-Mallowlatch-Weight-Versions: "+weights+"\r\nX-Mallowlatch-Not-Run: 1\r\n", "")
	}
	current := &run{id: id, began: time.Now(), runner: r.id}
	current.resume, _ = strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.mutex.Lock()
	if r.running >= r.slots {
		load := r.load()
		r.mutex.Unlock()
		return plain(conn, http.StatusServiceUnavailable, back+load+"X-Mallowlatch-Not-Run: 1\r\n", "")
	}
	r.running++
	r.runs = append(r.runs, current)
	load := r.load()
	r.mutex.Unlock()
	r.record.write("runner %s (%s) begins %s after event %d", r.id, r.service, id, current.resume)
	keep := r.work(conn, current, back+"X-Mallowlatch-Server-Seal: "+seal(id)+"\r\nX-Mallowlatch-Weight-Versions: "+weights+"\r\n"+load)
	r.mutex.Lock()
	r.running--
	current.ended = time.Now()
	r.mutex.Unlock()
	r.record.write("runner %s ends %s: status %d, cut %v", r.id, id, current.status, current.aborted)
	return keep
}

func (r *runner) work(conn net.Conn, current *run, head string) bool {
	current.status = http.StatusOK
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		current.aborted = true
		return false
	}
	for position := current.resume + 1; position <= r.eventsOf(current.id); position++ {
		time.Sleep(r.interval)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", position, eventText(current.id, position))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			current.aborted = true
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	current.aborted = err != nil
	return err == nil
}

func (r *runner) report(conn net.Conn) bool {
	r.mutex.Lock()
	message, _ := json.Marshal(map[string]any{
		"stage": "dual", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": r.running, "kvUsed": 100 * r.running, "kvTotal": 100000, "handles": 0,
	})
	r.mutex.Unlock()
	return plain(conn, http.StatusOK, "Content-Type: application/json\r\n", string(message))
}

// taken returns how many requests run now.
func (r *runner) taken() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running
}

// copies returns the runs so far.
func (r *runner) copies() []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	copied := make([]run, 0, len(r.runs))
	for _, one := range r.runs {
		copied = append(copied, *one)
	}
	return copied
}
