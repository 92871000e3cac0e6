package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/platform/platformtest"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) write(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) say(format string, values ...any) {
	r.write(format, values...)
	fmt.Printf(format+"\n", values...)
}

// process is a front or a worker.
type process struct {
	name, role                   string
	callers, ready, peers, store string
	settings                     string
	// exits is how often the process ended by itself; the site's mutex guards it, and the two below after the first start.
	exits   int
	command *exec.Cmd
	ended   chan struct{}
}

// site is a small deployment: the platform's store, runners, and the project's processes.
type site struct {
	record  *record
	folder  string
	program string
	store   *platformtest.Store
	server  *httptest.Server
	runners []*runner
	all     []*process
	seeds   []string
	zones   []string
	// runnersEach is the number of runners of a zone. events is the least number of events of an answer, spread by how many more some have.
	runnersEach, events, spread int

	// slow makes the answers of transactions take slowFactor times as long; what is asked is done at once.
	slow  atomic.Bool
	mutex sync.Mutex
	down  bool
	done  chan struct{}
}

const (
	host        = "nony24.example"
	heartbeat   = 1200 * time.Millisecond
	storeAnswer = 4 * time.Millisecond
	pageEntries = 500
	// slowFactor is the x of the site's platform_slow.
	slowFactor = 60
)

func newSite(record *record, program string, zones []string) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: record, folder: folder, program: program, store: platformtest.NewStore(), zones: zones, runnersEach: 2, events: 40, done: make(chan struct{})}
	s.store.PageSize = pageEntries
	s.store.SetLatency(storeAnswer)
	s.server = httptest.NewServer(http.HandlerFunc(s.serveStore))
	return s, nil
}

// serveStore answers a call of the store. While the store is slow, transactions are answered late.
func (s *site) serveStore(response http.ResponseWriter, request *http.Request) {
	if !s.slow.Load() || request.URL.Path != "/mallowlatch/kv-txn" {
		s.store.ServeHTTP(response, request)
		return
	}
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, request)
	time.Sleep((slowFactor - 1) * storeAnswer)
	for name, values := range answer.Header() {
		response.Header()[name] = values
	}
	response.WriteHeader(answer.Code)
	_, _ = response.Write(answer.Body.Bytes())
}

// close ends all processes that the site started.
func (s *site) close() {
	close(s.done)
	s.mutex.Lock()
	for _, p := range s.all {
		p.kill()
	}
	s.mutex.Unlock()
	for _, r := range s.runners {
		r.stop()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	_ = os.RemoveAll(s.folder)
}

// setDown makes the store refuse all calls with 503, and the runners' renewals with them.
func (s *site) setDown(down bool) {
	s.mutex.Lock()
	s.down = down
	s.mutex.Unlock()
	s.store.SetDown(down)
	s.record.say("the platform's store is down: %v", down)
}

func (s *site) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// addRunner starts a runner, which renews its entry each heartbeat.
func (s *site) addRunner(r *runner) error {
	r.record = s.record
	if err := startRunner(r); err != nil {
		return err
	}
	s.runners = append(s.runners, r)
	s.store.Put("servers/"+r.id, r.entry())
	go func() {
		for {
			select {
			case <-s.done:
				return
			case <-time.After(heartbeat):
			}
			if !s.isDown() {
				s.store.Put("servers/"+r.id, r.entry())
			}
		}
	}()
	return nil
}

// machineIP returns the loopback address of a machine. Each has its own, so that no outgoing connection takes a port of a machine.
func machineIP(index int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id>>8&0x3f, id&0xff, 1+index)
}

func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// settingsText is deploy/settings.yaml as the platform fills it for a small site.
const settingsText = `node: {name: %q, zone: %q, region: "sicilia", first_start: %v, data_folder: %q, zones: [%s]}
listen: {callers: %q, ready: %q, peers: %q}
seeds: [%s]
print_key: ""
store: {address: %q, value_bytes: 1048576, shortest_lease_ms: 1000}
limits: {memory_mb: %d, cores: 1, descriptors: %d, disk_mb: %d, link_mbps: %d}
bounds: {drain_ms: 2000, grace_s: 8, configuration_ms: 2000, settle_ms: 1000, cancel_ms: 3000, heartbeat_ms: 1200, result_retention_s: 120, quota_overage: 0.1, quota_window_s: , lost_disks: 1}
`

// place chooses the addresses of a process. Workers are placed first: they are the seeds.
func (s *site) place(role, name string) (*process, error) {
	p := &process{name: name, role: role}
	ip := machineIP(len(s.all))
	for _, address := range []*string{&p.callers, &p.ready, &p.peers} {
		var err error
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	if role == "worker" {
		s.seeds = append(s.seeds, p.peers)
	}
	s.all = append(s.all, p)
	return p, nil
}

// start starts a process, for the first time or again.
func (s *site) start(p *process, zone string, first bool) error {
	data, memory, descriptors, disk, link := "", 284, 4100, 0, 1000
	if p.role == "worker" {
		data, memory, descriptors, disk, link = filepath.Join(s.folder, p.name), 314, 8200, 480, 600
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	}
	quoted := func(texts []string) string { return `"` + strings.Join(texts, `", "`) + `"` }
	p.settings = filepath.Join(s.folder, p.name+".yaml")
	text := fmt.Sprintf(settingsText, p.name, zone, first, data, quoted(s.zones), p.callers, p.ready, p.peers, quoted(s.seeds[:min(len(s.seeds), 3)]),
		s.server.Listener.Addr().String(), memory, descriptors, disk, link)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(s.program, p.role)
	p.command.Env = append(os.Environ(), "MALLOWLATCH_NODE_FILE="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	command := p.command
	p.ended = make(chan struct{})
	ended := p.ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
		s.restart(p, zone, command.ProcessState)
	}()
	s.record.write("%s starts, process %d", p.name, command.Process.Pid)
	return nil
}

// restartDelay is the time after which the platform starts a process again that ended.
const restartDelay = 500 * time.Millisecond

// restart starts a process again that ended by itself, as the platform does.
func (s *site) restart(p *process, zone string, state *os.ProcessState) {
	select {
	case <-s.done:
		return
	default:
	}
	s.record.say("%s ended by itself: %v", p.name, state)
	time.Sleep(restartDelay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.exits++
	select {
	case <-s.done:
		return
	default:
	}
	if err := s.start(p, zone, false); err != nil {
		s.record.say("%s is not started again: %v", p.name, err)
	}
}

// kill ends a process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.ended
}

// awaitReady waits until a front is ready.
func (p *process) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + p.ready + "/mallowlatch/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(p.name + " is not ready in time")
}

// keepLogs copies the logs of the processes to a folder, for the reader of a failed case.
func (s *site) keepLogs(folder string) {
	if folder == "" {
		return
	}
	_ = os.MkdirAll(folder, 0o755)
	for _, p := range s.all {
		if content, err := os.ReadFile(filepath.Join(s.folder, p.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, p.name+".log"), content, 0o600)
		}
	}
}

// callTimeout is how long a client waits for a whole answer: that of the site's kinds of requests, and longer than the 1.5 s of a read.
const callTimeout = 3 * time.Second

// call makes one client call on a new connection. The status is zero if no whole answer came.
func (s *site) call(method, address, path, id string, body []byte, headers ...string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Mallowlatch-Request-Id", id)
	}
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
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

// job is a batch job as its client knows it.
type job struct {
	id   string
	path string
	// weights is the version of the weights that the items expect; empty if any will do.
	weights  string
	items    []string
	accepted bool
	sent     time.Time
	// wrongTotal is a number of items that a node named and the job does not have; zero if none did.
	wrongTotal int
	results    []result
}

func newJob(id string, items int) *job {
	made := &job{id: id, path: itemPath}
	for index := range items {
		made.items = append(made.items, fmt.Sprintf("%s-%d", id, index))
	}
	return made
}

// Paths of items, below the prefix of the batch route; the first is that of the pages' example.
const (
	itemPath      = "/pule252/3/91c4"
	otherItemPath = "/pule252/4/77aa"
)

func (j *job) body() []byte {
	var listed []map[string]any
	headers := map[string]string{"X-Mallowlatch-Model": "m", "X-Mallowlatch-Token-Count": "200,100"}
	if j.weights != "" {
		headers["X-Mallowlatch-Expect-Version"] = j.weights
	}
	for _, item := range j.items {
		listed = append(listed, map[string]any{
			"id": item, "path": j.path, "headers": headers,
			"body": []byte("body of " + item), "tokens": 300,
		})
	}
	encoded, _ := json.Marshal(map[string]any{"requests": listed})
	return encoded
}

// submit hands a job in until a node says 202, each time at another node, as a client does.
func (s *site) submit(j *job, path string, fronts []*process, first int) bool {
	j.sent = time.Now()
	for try := range 6 {
		front := fronts[(first+try)%len(fronts)]
		status, body := s.call(http.MethodPost, front.callers, path, j.id, j.body())
		s.record.write("job %s (%d items) to %s: %d %s", j.id, len(j.items), front.name, status, strings.TrimSpace(body))
		if status == http.StatusAccepted {
			j.accepted = true
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// read reads the results that the client lacks.
func (s *site) read(j *job, front *process) {
	path := fmt.Sprintf("/mallowlatch/lots/%s?sinceRev=%d", j.id, len(j.results))
	status, body := s.call(http.MethodGet, front.callers, path, "", nil)
	if status != http.StatusOK {
		s.record.write("read of %s from %d at %s: %d", j.id, len(j.results), front.name, status)
		return
	}
	var page listing
	if err := json.Unmarshal([]byte(body), &page); err != nil {
		s.record.write("read of %s: %v", j.id, err)
		return
	}
	if page.Total != len(j.items) {
		j.wrongTotal = page.Total
		s.record.write("read of %s at %s: total %d", j.id, front.name, page.Total)
	}
	if len(page.Results) == 0 {
		return
	}
	j.results = append(j.results, page.Results...)
	for index, one := range page.Results {
		s.record.write("%s at %s lists %s at position %d as %s, %d bytes", j.id, front.name, one.ID, len(j.results)-len(page.Results)+index, one.State, len(one.Text))
	}
}

// unlisted returns the items of a job that no result names.
func (j *job) unlisted() []string {
	known := map[string]bool{}
	for _, one := range j.results {
		known[one.ID] = true
	}
	var missing []string
	for _, item := range j.items {
		if !known[item] {
			missing = append(missing, item)
		}
	}
	return missing
}
