package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	testKey     = "mlk_test"
	adminKey    = "mlk_admin"
	testService = "assistant"
)

type staticSource struct{ snapshot *catalog.Snapshot }

func (s staticSource) Current() *catalog.Snapshot    { return s.snapshot }
func (s staticSource) Changed(int64) <-chan struct{} { return nil }

func testSnapshot() *catalog.Snapshot {
	snapshot := catalog.Empty()
	snapshot.Tenants["palermo"] = catalog.Tenant{Name: "palermo"}
	snapshot.Keys[auth.Digest(testKey)] = catalog.Key{Tenant: "palermo", Role: catalog.RoleCaller, Digest: auth.Digest(testKey)}
	snapshot.Keys[auth.Digest(adminKey)] = catalog.Key{Tenant: "palermo", Role: catalog.RoleAdmin, Digest: auth.Digest(adminKey)}
	snapshot.Services[testService] = catalog.Service{Name: testService, Model: "llama", MaxTokens: 64, Repeatable: true}
	snapshot.Services["bookings"] = catalog.Service{Name: "bookings", Model: "llama", Tenants: []ident.Tenant{"palermo"}}
	snapshot.Services["private"] = catalog.Service{Name: "private", Model: "llama", Tenants: []ident.Tenant{"other"}}
	return snapshot
}

// chunkOf writes one token in the dialect of the endpoint.
func chunkOf(endpoint inference.Endpoint, offset int, text string, final bool) inference.Chunk {
	finish := "null"
	chunk := inference.Chunk{Offset: offset, Tokens: 1, Final: final}
	if final {
		finish = `"stop"`
		chunk.FinishReason = "stop"
		chunk.Usage = inference.Usage{PromptTokens: 3, CompletionTokens: offset + 1, TotalTokens: offset + 4}
	}
	quoted, _ := json.Marshal(text)
	format := `{"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"llama","choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`
	if endpoint == inference.Completions {
		format = `{"id":"cmpl-1","object":"text_completion","created":1,"model":"llama","choices":[{"index":0,"text":%s,"finish_reason":%s}]}`
	}
	chunk.Data = fmt.Appendf(nil, format, quoted, finish)
	return chunk
}

// sendWords sends each word as one chunk.
func sendWords(request *inference.Request, sink Sink, words ...string) error {
	for index, word := range words {
		if err := sink.Chunk(chunkOf(request.Endpoint, index, word, index == len(words)-1)); err != nil {
			return failure.New(failure.CodeCancelled, "the caller has gone").WithCause(err)
		}
	}
	return nil
}

// fakeJobs is a job store in memory that runs nothing.
type fakeJobs struct {
	mutex sync.Mutex
	files map[ident.File][]byte
	specs map[ident.File]job.File
	order []ident.File
	jobs  []job.Job
}

func newFakeJobs() *fakeJobs {
	return &fakeJobs{files: map[ident.File][]byte{}, specs: map[ident.File]job.File{}}
}

func (f *fakeJobs) CreateFile(_ context.Context, spec job.FileSpec, content io.Reader) (job.File, error) {
	var kept bytes.Buffer
	if _, err := io.Copy(&kept, content); err != nil {
		return job.File{}, failure.New(failure.CodeInternal, "the store failed").WithCause(err)
	}
	lines := bytes.Split(bytes.TrimSpace(kept.Bytes()), []byte("\n"))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	id := ident.File(fmt.Sprintf("file-%d", len(f.order)))
	file := job.File{ID: id, Tenant: spec.Tenant, Name: spec.Name, Purpose: spec.Purpose, Bytes: int64(kept.Len()), Lines: len(lines), Created: time.Unix(1, 0)}
	f.files[id], f.specs[id] = kept.Bytes(), file
	f.order = append(f.order, id)
	return file, nil
}

func (f *fakeJobs) File(_ context.Context, tenant ident.Tenant, id ident.File) (job.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file, known := f.specs[id]
	if !known || file.Tenant != tenant {
		return job.File{}, failure.New(failure.CodeNotFound, "no file %s", id)
	}
	return file, nil
}

func (f *fakeJobs) Files(ctx context.Context, tenant ident.Tenant, after ident.File, limit int) ([]job.File, bool, error) {
	var listed []job.File
	passed := after == ""
	for _, id := range f.order {
		if file, err := f.File(ctx, tenant, id); err == nil && passed {
			listed = append(listed, file)
		}
		passed = passed || id == after
	}
	return listed[:min(limit, len(listed))], len(listed) > limit, nil
}

func (f *fakeJobs) DeleteFile(ctx context.Context, tenant ident.Tenant, id ident.File) error {
	_, err := f.File(ctx, tenant, id)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.specs, id)
	return err
}

func (f *fakeJobs) Content(ctx context.Context, tenant ident.Tenant, id ident.File) (io.ReadCloser, error) {
	if _, err := f.File(ctx, tenant, id); err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(f.files[id])), nil
}

// Submit checks each line and puts the answers and errors of the job into files at once.
func (f *fakeJobs) Submit(ctx context.Context, spec job.Spec) (job.Job, bool, error) {
	if _, err := f.File(ctx, spec.Tenant, spec.InputFile); err != nil {
		return job.Job{}, false, err
	}
	created := job.Job{ID: ident.Job(fmt.Sprintf("batch-%d", len(f.jobs))), Spec: spec, Status: job.Completed, Created: time.Unix(1, 0), Ended: time.Unix(2, 0)}
	var output, faults strings.Builder
	for index, line := range bytes.Split(bytes.TrimSpace(f.files[spec.InputFile]), []byte("\n")) {
		created.Counts.Total++
		var parsed struct {
			CustomID string `json:"custom_id"`
		}
		if json.Unmarshal(line, &parsed) != nil {
			created.Counts.Failed++
			refused := failure.New(failure.CodeInvalidLine, "not JSON").WithLine(index + 1)
			faults.Write(append(newEnvelope(refused).encode(), '\n'))
			continue
		}
		created.Counts.Completed++
		output.WriteString(parsed.CustomID + "\n")
	}
	outputFile, _ := f.CreateFile(ctx, job.FileSpec{Tenant: spec.Tenant, Name: "output"}, strings.NewReader(output.String()))
	errorFile, _ := f.CreateFile(ctx, job.FileSpec{Tenant: spec.Tenant, Name: "errors"}, strings.NewReader(faults.String()))
	created.OutputFile, created.ErrorFile = outputFile.ID, errorFile.ID
	f.jobs = append(f.jobs, created)
	return created, false, nil
}

func (f *fakeJobs) Job(_ context.Context, tenant ident.Tenant, id ident.Job) (job.Job, error) {
	for _, known := range f.jobs {
		if known.ID == id && known.Spec.Tenant == tenant {
			return known, nil
		}
	}
	return job.Job{}, failure.New(failure.CodeNotFound, "no batch %s", id)
}

func (f *fakeJobs) Jobs(_ context.Context, _ ident.Tenant, after ident.Job, limit int) ([]job.Job, bool, error) {
	var listed []job.Job
	for _, known := range f.jobs {
		if known.ID > after {
			listed = append(listed, known)
		}
	}
	return listed[:min(limit, len(listed))], len(listed) > limit, nil
}

func (f *fakeJobs) Cancel(ctx context.Context, tenant ident.Tenant, id ident.Job) (job.Job, error) {
	cancelled, err := f.Job(ctx, tenant, id)
	cancelled.Status, cancelled.CancelledAt = job.Cancelling, time.Unix(3, 0)
	return cancelled, err
}

// http2Test marks a test whose site serves HTTP/2.
type http2Test struct{ testing.TB }

// site is a gateway over fakes behind a real listener.
type site struct {
	gateway *Gateway
	server  *httptest.Server
	client  openai.Client
	jobs    *fakeJobs
}

func newSite(t testing.TB, dispatch DispatchFunc, change func(*Options)) *site {
	jobs := newFakeJobs()
	options := Options{
		Source:     staticSource{testSnapshot()},
		Dispatcher: dispatch,
		Jobs:       jobs,
	}
	if change != nil {
		change(&options)
	}
	gateway := New(options)
	server := httptest.NewUnstartedServer(gateway)
	if _, overHTTP2 := t.(http2Test); overHTTP2 {
		server.EnableHTTP2 = true
		server.StartTLS()
	} else {
		server.Start()
	}
	server.Client().Timeout = patience
	t.Cleanup(server.Close)
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	return &site{gateway: gateway, server: server, client: client, jobs: jobs}
}

// post sends a plain request and returns the answer with its whole body.
func (s *site) post(t testing.TB, path, body string, header ...string) (*http.Response, string) {
	return s.send(t, http.MethodPost, path, body, header...)
}

func (s *site) send(t testing.TB, method, path, body string, header ...string) (*http.Response, string) {
	call, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	call.Header.Set("Authorization", "Bearer "+testKey)
	for index := 0; index+1 < len(header); index += 2 {
		call.Header.Set(header[index], header[index+1])
	}
	response, err := s.server.Client().Do(call)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(content)
}
