package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an item of the store.
type entry struct {
	Key      string `json:"privateKey"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
	At       int64  `json:"at,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Limits of the store that PROTOCOL.md and the settings name.
const (
	storeLatency       = 4 * time.Millisecond
	transactionEntries = 32
	pageEntries        = 500
	pageBytes          = 1 << 20
	valueBytes         = 1048576
)

// store is a stand-in of the platform's metadata store. It keeps every revision, and answers linearizably.
type store struct {
	record  *record
	mutex   sync.Mutex
	entries map[string]entry
	history []entry
	at      int64
	leases  map[int64]*lease
	changed chan struct{}
	down    bool
	refused int
}

func newStore(r *record) *store {
	s := &store{record: r, entries: map[string]entry{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mutex.Lock()
			s.expire()
			s.mutex.Unlock()
		}
	}()
	return s
}

// setDown makes the store answer each call with 503: nothing was done.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *store) expire() {
	for id, held := range s.leases {
		if time.Now().After(held.until) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.entries {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.at++
		for _, key := range keys {
			s.remove(key)
		}
		s.wake()
	}
}

func (s *store) remove(key string) {
	if _, found := s.entries[key]; found {
		delete(s.entries, key)
		s.history = append(s.history, entry{Key: key, Revision: s.at, Gone: true})
	}
}

func (s *store) put(key, value string, held int64) {
	item := entry{Key: key, Value: value, Revision: s.at, Created: s.at, Lease: held}
	if before, found := s.entries[key]; found {
		item.Created = before.Created
	}
	s.entries[key] = item
	s.history = append(s.history, item)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the operator or of a server.
func (s *store) write(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at++
	s.put(key, base64.StdEncoding.EncodeToString(encoded), 0)
	s.wake()
}

// drop is a removal by a server.
func (s *store) drop(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at++
	s.remove(key)
	s.wake()
}

// value returns the bytes of a key.
func (s *store) value(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.entries[key]
	decoded, _ := base64.StdEncoding.DecodeString(item.Value)
	return decoded, found
}

func reply(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if message != nil {
		_ = json.NewEncoder(w).Encode(message)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mutex.Lock()
	down := s.down
	s.mutex.Unlock()
	if down {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	path := r.URL.Path
	switch {
	case path == "/mallowlatch/kv-key":
		s.get(w, r)
	case path == "/mallowlatch/kv-range":
		s.list(w, r)
	case path == "/mallowlatch/kv-watch":
		s.watch(w, r)
	case path == "/mallowlatch/kv-txn":
		s.transact(w, r)
	case path == "/mallowlatch/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/mallowlatch/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/mallowlatch/kv-keep/"))
	case strings.HasPrefix(path, "/mallowlatch/kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "/mallowlatch/kv-lease-end/"))
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("privateKey")
	s.mutex.Lock()
	item, found := s.entries[key]
	item.At = s.at
	s.mutex.Unlock()
	if !found {
		reply(w, http.StatusNotFound, entry{Key: key, At: item.At})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("sinceRev")
	s.mutex.Lock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items []entry `json:"requests"`
		More  bool    `json:"more"`
		At    int64   `json:"at"`
	}{Items: []entry{}, At: s.at}
	size := 0
	for _, key := range keys {
		item := s.entries[key]
		if len(page.Items) == pageEntries || (len(page.Items) > 0 && size+len(item.Value) > pageBytes) {
			page.More = true
			break
		}
		size += len(item.Value)
		page.Items = append(page.Items, item)
	}
	s.mutex.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("pathPrefix")
	after, _ := strconv.ParseInt(query.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		message := struct {
			Events []entry `json:"events"`
			At     int64   `json:"at"`
		}{Events: []entry{}, At: s.at}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, item := range s.history[first:] {
			if strings.HasPrefix(item.Key, prefix) {
				message.Events = append(message.Events, item)
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(message.Events) > 0 || over {
			reply(w, http.StatusOK, message)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expect []entry  `json:"expectedRev"`
	Put    []entry  `json:"put"`
	Remove []string `json:"remove"`
}

// allowed returns the status of the refusal of a transaction that the pages do not allow, and why; zero for one that they allow.
func (t *transaction) allowed() (int, string) {
	if len(t.Expect)+len(t.Put)+len(t.Remove) > transactionEntries {
		return http.StatusBadRequest, "more than 32 entries"
	}
	for _, put := range t.Put {
		decoded, err := base64.StdEncoding.DecodeString(put.Value)
		switch {
		case err != nil:
			return http.StatusBadRequest, "no base64"
		case len(decoded) > valueBytes:
			return http.StatusRequestEntityTooLarge, "value of " + put.Key + " has " + strconv.Itoa(len(decoded)) + " bytes, at most 1048576 are allowed"
		case len(put.Key) > 200:
			return http.StatusBadRequest, "key of more than 200 bytes"
		case strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/"):
			return http.StatusForbidden, "key of the platform"
		}
	}
	return 0, ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var message transaction
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if status, why := message.allowed(); status != 0 {
		s.mutex.Lock()
		s.refused++
		first := s.refused <= 5
		s.mutex.Unlock()
		if first {
			s.record.note("store: refuses a transaction with %d: %s", status, why)
		}
		reply(w, status, nil)
		return
	}
	s.mutex.Lock()
	s.expire()
	present := []entry{}
	holds := true
	for _, expected := range message.Expect {
		item, found := s.entries[expected.Key]
		if found {
			present = append(present, item)
		}
		holds = holds && item.Revision == expected.Revision
	}
	if !holds {
		s.mutex.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"requests": present})
		return
	}
	for _, put := range message.Put {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			s.mutex.Unlock()
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.at++
	for _, put := range message.Put {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range message.Remove {
		s.remove(key)
	}
	revision := s.at
	s.wake()
	s.mutex.Unlock()
	reply(w, http.StatusOK, map[string]any{"revision": revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var message struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(max(message.TTLMs, 1000)) * time.Millisecond
	s.mutex.Lock()
	id := int64(70000 + len(s.leases) + int(s.at) + s.refused)
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	s.at++
	s.mutex.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mutex.Lock()
	s.expire()
	held := s.leases[id]
	if held != nil {
		held.until = time.Now().Add(held.ttl)
	}
	s.mutex.Unlock()
	if held == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ttlMs": held.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mutex.Lock()
	found := s.leases[id] != nil
	if found {
		s.dropLease(id)
	}
	s.mutex.Unlock()
	if !found {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
