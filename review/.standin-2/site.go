package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, arguments...)...)
}

// site is a small deployment: fronts and workers of the real program before stand-ins of the store and the runners.
type site struct {
	*record
	trouble bool
	folder  string
	store   *store
	address string
	nodes   []*node
	runners []*runnerProcess
	version int
	used    map[string]bool
}

// node is a process of the real program.
type node struct {
	name, role                   string
	callers, ready, peers, files string
	command                      *exec.Cmd
	ended                        chan struct{}
}

const (
	host    = "nony24.example"
	service = "sportello"
	// setupLimit bounds the time until the site serves.
	setupLimit = 20 * time.Second
)

// cannotRun ends the program with the status of a case that could not run.
type cannotRun struct{ why string }

func (s *site) fail(format string, arguments ...any) {
	panic(cannotRun{fmt.Sprintf(format, arguments...)})
}

func newSite(folder string, trouble bool) *site {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &site{record: &record{file: file, began: time.Now()}, trouble: trouble, used: map[string]bool{}}
	if s.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		s.fail("temporary folder: %v", err)
	}
	s.store = newStore(s.record)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.fail("listening: %v", err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	return s
}

// close ends every process that the site started, and removes its files.
func (s *site) close() {
	for _, n := range s.nodes {
		_ = n.command.Process.Kill()
		<-n.ended
	}
	for _, r := range s.runners {
		r.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// ownHost returns a loopback address of this process, so that two cases that are played at once do not take each other's ports.
func ownHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id>>14&0x7f, id>>7&0x7f, 1+id&0x7f)
}

func (s *site) freeAddress() string {
	for {
		listener, err := net.Listen("tcp4", ownHost()+":0")
		if err != nil {
			s.fail("no free port: %v", err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !s.used[address] {
			s.used[address] = true
			return address
		}
	}
}

// The settings of a process: deploy/settings.yaml, filled with the values of DEPLOY.md and of the site file.
const settings = `
node:
  name: %q
  zone: %q
  region: "sicilia"
  first_start: %v
  data_folder: %q
  zones: [null,null,null]
listen:
  callers: %q
  ready: %q
  peers: %q
seeds: [%s]
print_key: ""
store:
  address: %q
  value_bytes: 1048576
  shortest_lease_ms: 1000
limits:
  memory_mb: %d
  cores: 1
  descriptors: %d
  disk_mb: %d
  link_mbps: %.1f
bounds:
  drain_ms: 2000
  grace_s: 8
  configuration_ms: 2000
  settle_ms: 1000
  cancel_ms: 3000
  heartbeat_ms: 1200
  result_retention_s: 120
  quota_overage: 0.1
  quota_window_s: 
  lost_disks: 1
`

var zones = []string{"palermo", "catania", "agrigento"}

// startNodes starts fronts and workers, in the zones in turn.
func (s *site) startNodes(fronts, workers int) {
	var seeds []string
	for i := range fronts + workers {
		n := &node{role: "front", name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), callers: s.freeAddress(), ready: s.freeAddress(), peers: s.freeAddress()}
		if i >= fronts {
			at := i - fronts
			n.role, n.name, n.callers, n.ready = "worker", fmt.Sprintf("store-%s-%d", zones[at%3], at/3+1), "", ""
			n.files = filepath.Join(s.folder, n.name)
			if err := os.MkdirAll(n.files, 0o755); err != nil {
				s.fail("data folder: %v", err)
			}
			seeds = append(seeds, fmt.Sprintf("%q", n.peers))
		}
		s.nodes = append(s.nodes, n)
	}
	for i, n := range s.nodes {
		memory, descriptors, disk, link, at := 284, 4100, 0, 1000.0, i
		if n.role == "worker" {
			memory, descriptors, disk, link, at = 314, 8200, 480, 600.0, i-fronts
		}
		text := fmt.Sprintf(settings, n.name, zones[at%3], true, n.files, n.callers, n.ready, n.peers, strings.Join(seeds[:min(3, len(seeds))], ","), s.address, memory, descriptors, disk, link)
		if err := os.WriteFile(filepath.Join(s.folder, n.name+".yaml"), []byte(text), 0o600); err != nil {
			s.fail("settings: %v", err)
		}
		s.start(n)
	}
}

// start starts a process with the command of the deploy file.
func (s *site) start(n *node) {
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.fail("log: %v", err)
	}
	n.command = exec.Command("target/mallowlatch-site", n.role)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MALLOWLATCH_NODE_FILE=" + filepath.Join(s.folder, n.name+".yaml")}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		s.fail("starting %s: %v", n.name, err)
	}
	ended := make(chan struct{})
	n.ended = ended
	command := n.command
	go func() {
		err := command.Wait()
		s.note("%s: process ended: %v", n.name, err)
		close(ended)
	}()
	s.note("%s: started", n.name)
}

// fronts returns the front processes.
func (s *site) fronts() []*node {
	var found []*node
	for _, n := range s.nodes {
		if n.role == "front" {
			found = append(found, n)
		}
	}
	return found
}

// awaitReady waits until all fronts say that they are ready.
func (s *site) awaitReady() {
	for _, n := range s.fronts() {
		for end := time.Now().Add(setupLimit); ; time.Sleep(50 * time.Millisecond) {
			response, err := http.Get("http://" + n.ready + "/mallowlatch/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.fail("%s is not ready", n.name)
			}
		}
	}
	for _, n := range s.nodes {
		select {
		case <-n.ended:
			s.fail("%s ended at its start", n.name)
		default:
		}
	}
	s.note("all fronts are ready")
}

// configure writes the next version of the configuration.
func (s *site) configure(routes ...map[string]any) {
	s.version += 3
	s.store.write("op/config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{
			{"name": service, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false},
			{"name": "segreteria", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	s.note("operator: configuration %d with %d routes", s.version, len(routes))
}

func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-jobs", "host": host, "pathPrefix": "/pule252/", "kind": "batch", "timeoutMs": 30000, "targetMs": 400, "priority": 2, "service": service,
		"maxAttempts": 3, "sessionAffinity": true, "resumable": true, "gapAimMs": 250, "completionTargetMs": 20000, "retentionS": 60, "maxQueuedTokens": 1600000,
	}
}

func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-ask", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 5000, "targetMs": 200, "priority": 0, "service": service,
		"maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapAimMs": 250,
	}
}

// runnerProcess is a stand-in runner, and what it printed.
type runnerProcess struct {
	site    *site
	id      string
	service string
	address string
	command *exec.Cmd
	ended   chan struct{}

	// announce writes the runner's entry in the store.
	announce func()

	mutex sync.Mutex
	lines []string
	dead  bool
	// underWay counts the requests that were begun and not ended, lastLine is when one was begun or ended last.
	underWay int
	lastLine time.Time
	// state is that of the entry.
	state    string
	sequence int
}

// addRunner starts a runner that keeps itself in the store.
func (s *site) addRunner(id, service, zone string, slots int, flags ...string) *runnerProcess {
	self, err := os.Executable()
	if err != nil {
		s.fail("%v", err)
	}
	r := &runnerProcess{site: s, id: id, service: service, ended: make(chan struct{}), state: "ready"}
	r.command = exec.Command(self, append([]string{"runner", "--id", id, "--slots", fmt.Sprint(slots)}, flags...)...)
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, _ := r.command.StdoutPipe()
	if err := r.command.Start(); err != nil {
		s.fail("starting runner %s: %v", id, err)
	}
	listening := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			if address, found := strings.CutPrefix(lines.Text(), "address "); found {
				listening <- address
				continue
			}
			r.heard(lines.Text())
			s.note("runner %s: %s", id, lines.Text())
		}
		_ = r.command.Wait()
		close(r.ended)
	}()
	r.address = <-listening
	s.runners = append(s.runners, r)
	r.announce = func() {
		r.mutex.Lock()
		r.sequence++
		state, sequence := r.state, r.sequence
		r.mutex.Unlock()
		s.store.write("servers/"+id, map[string]any{
			"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": slots, "state": state, "warmupLeftMs": 0,
			"stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": sequence,
		})
	}
	r.announce()
	s.note("runner %s of %s: started at %s", id, service, r.address)
	go func() {
		for {
			select {
			case <-r.ended:
				// Its entry lapses after three heartbeats of silence.
				time.Sleep(3 * 1200 * time.Millisecond)
				s.store.drop("servers/" + id)
				return
			case <-time.After(1200 * time.Millisecond):
				r.announce()
			}
		}
	}()
	return r
}

// heard takes a line that the runner printed.
func (r *runnerProcess) heard(line string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, line)
	r.lastLine = time.Now()
	switch {
	case strings.HasPrefix(line, "run "):
		r.underWay++
	case strings.HasPrefix(line, "done "), strings.HasPrefix(line, "dropped "):
		r.underWay--
	}
}

func (r *runnerProcess) kill() {
	r.mutex.Lock()
	dead := r.dead
	r.dead = true
	r.mutex.Unlock()
	if !dead {
		_ = r.command.Process.Kill()
	}
	<-r.ended
}

// count returns how many printed lines begin with a text.
func (r *runnerProcess) count(prefix string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := 0
	for _, line := range r.lines {
		if strings.HasPrefix(line, prefix) {
			found++
		}
	}
	return found
}

// client makes each call on a new connection.
var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 10 * time.Second}

// answer is what a client saw. err means that the call failed, or that its body ended before its end.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (s *site) call(n *node, method, path string, body []byte, headers ...string) answer {
	request, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: content, err: err}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, broken: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, whole", a.status, len(a.body))
}

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func items(job string, count int, headers map[string]string) []item {
	var list []item
	for i := range count {
		id := fmt.Sprintf("%s-%03d", job, i)
		carried := map[string]string{"X-Mallowlatch-Model": "m", "X-Mallowlatch-Token-Count": "540,400", "X-Mallowlatch-Prompt-Prefix": "9c2e41:300,5d07b8:240"}
		for name, value := range headers {
			carried[name] = value
		}
		list = append(list, item{ID: id, Path: "/pule252/3/91c4", Headers: carried, Body: []byte("prompt of " + id), Tokens: 940})
	}
	return list
}

// submit hands a job in until it is taken, at the fronts in turn, as a client does.
func (s *site) submit(job string, list []item) (taken bool) {
	body, err := json.Marshal(map[string]any{"requests": list})
	if err != nil {
		s.fail("%v", err)
	}
	for try := range 3 {
		n := s.fronts()[try%len(s.fronts())]
		s.note("client: POST job %s with %d items (%d bytes) at %s", job, len(list), len(body), n.name)
		got := s.call(n, http.MethodPost, "/pule252/"+job, body, "X-Mallowlatch-Request-Id", job, "Content-Type", "application/json")
		s.note("client: job %s: %s %s", job, got, shortened(got.body))
		if got.err == nil && got.status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

func shortened(text []byte) string {
	return strings.TrimSpace(string(text[:min(len(text), 120)]))
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type listing struct {
	Total   int      `json:"total"`
	Next    int      `json:"nextToken"`
	Results []result `json:"results"`
}

// results reads a job's results until all are there, or for a time. It returns also the last status.
func (s *site) results(job string, count int, limit time.Duration) (list []result, status int) {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end) && len(list) < count; time.Sleep(500 * time.Millisecond) {
		for _, n := range s.fronts() {
			got := s.call(n, http.MethodGet, fmt.Sprintf("/mallowlatch/lots/%s?sinceRev=%d", job, len(list)), nil, "X-Mallowlatch-Wait-Ms", "500")
			status = got.status
			var page listing
			if got.err == nil && got.status == http.StatusOK && json.Unmarshal(got.body, &page) == nil {
				list = append(list, page.Results...)
			}
			seen := fmt.Sprintf("client: GET job %s from %d: status %d, %d of %d results so far", job, len(list)-len(page.Results), got.status, len(list), count)
			if seen != last {
				s.note("%s", seen)
				last = seen
			}
			if len(list) >= count {
				break
			}
		}
	}
	return list, status
}
