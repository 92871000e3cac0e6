package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a model runner, a process of its own. It prints a line for each request that it begins, refuses or ends.
type runner struct {
	id       string
	slots    int
	events   int
	interval time.Duration
	// unframedOf makes one of so many answers end with its connection, with neither a length nor chunks; zero makes none. eventBytes is the size
	// of an event's data.
	unframedOf int
	eventBytes int
	// markup makes the data of events text with markup, paragraphs has each third event begin a paragraph: its data begins with an empty line.
	markup, paragraphs bool

	mutex   sync.Mutex
	running int
	// begun counts the requests that were begun.
	begun int
}

func (r *runner) say(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Printf(format+"\n", arguments...)
}

// runRunner serves until the process ends.
func runRunner(arguments []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	r := &runner{}
	flags.StringVar(&r.id, "id", "i-1", "")
	flags.IntVar(&r.slots, "slots", 8, "")
	flags.IntVar(&r.events, "events", 10, "")
	flags.DurationVar(&r.interval, "interval", 20*time.Millisecond, "")
	flags.IntVar(&r.unframedOf, "unframed-of", 0, "")
	flags.IntVar(&r.eventBytes, "event-bytes", 0, "")
	flags.BoolVar(&r.markup, "markup", false, "")
	flags.BoolVar(&r.paragraphs, "paragraphs", false, "")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.say("address %s", listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *runner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
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

func (r *runner) answer(conn net.Conn, request *http.Request) (again bool) {
	r.mutex.Lock()
	running := r.running
	r.mutex.Unlock()
	loaded := fmt.Sprintf("X-Mallowlatch-Server-Load: %d,0,%d\r\n", running, r.slots)
	switch request.URL.Path {
	case "/mallowlatch/report":
		report, _ := json.Marshal(map[string]any{
			"stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": running, "kvUsed": 0, "kvTotal": 153000, "handles": 0,
		})
		return write(conn, 200, "Content-Type: application/json\r\n", string(report))
	case "/health":
		return write(conn, 200, "X-Mallowlatch-Instance-Id: "+r.id+"\r\n"+loaded, "")
	}
	id := request.Header.Get("X-Mallowlatch-Request-Id")
	carried := "X-Mallowlatch-Request-Id: " + id + "\r\n"
	if expected := request.Header.Get("X-Mallowlatch-Expect-Instance"); expected != "" && expected != r.id {
		return write(conn, 421, carried+"X-Mallowlatch-Instance-Id: "+r.id+"\r\nX-Mallowlatch-Not-Run: 1\r\n", "")
	}
	if running >= r.slots {
		r.say("refuse %s", id)
		return write(conn, 503, carried+"X-Mallowlatch-Not-Run: 1\r\n"+loaded, "")
	}
	r.mutex.Lock()
	r.running++
	r.begun++
	unframed := r.unframedOf > 0 && r.begun%r.unframedOf == r.unframedOf/2
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		r.running--
		r.mutex.Unlock()
	}()
	resume, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	framing := "framed"
	if unframed {
		framing = "unframed"
	}
	r.say("run %s %s after event %d, path %s", framing, id, resume, request.URL.Path)
	return r.stream(conn, id, resume, carried+"X-Mallowlatch-Server-Seal: seal-"+id+"\r\n"+loaded, unframed)
}

// eventData returns the data of an event of a size in bytes at least, as text or with markup.
func eventData(id string, position, size int, markup bool) string {
	data := fmt.Sprintf("%s/%d", id, position)
	unit := "."
	if markup {
		unit = `<td class="n">17</td>`
	}
	if missing := size - len(data); missing > 0 {
		data += strings.Repeat(unit, (missing+len(unit)-1)/len(unit))
	}
	return data
}

// beginsParagraph reports whether the event at a position begins a paragraph.
func beginsParagraph(position int) bool { return position%3 == 0 }

func (r *runner) stream(conn net.Conn, id string, resume int, head string, unframed bool) bool {
	head += "Content-Type: text/event-stream\r\n"
	if unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
		return false
	}
	for position := resume + 1; position <= r.events; position++ {
		time.Sleep(r.interval)
		data := eventData(id, position, r.eventBytes, r.markup)
		if r.paragraphs && beginsParagraph(position) {
			data = "\n" + data
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", position, strings.ReplaceAll(data, "\n", "\ndata: "))
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			r.say("dropped %s after %d", id, position-1)
			return false
		}
	}
	if unframed {
		r.say("done %s true", id)
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	r.say("done %s %v", id, err == nil)
	return err == nil
}

func text(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
}

func write(conn net.Conn, status int, head, body string) bool {
	_, err := io.WriteString(conn, text(status, head, body))
	return err == nil
}
