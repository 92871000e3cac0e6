package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const (
	// lineBytes and answerBytes are the sizes of an input line and of an answer, those of the job store's benchmarks.
	lineBytes, answerBytes = 740, 800
	// uploadTimeout bounds one upload or download of a job's file.
	uploadTimeout = 5 * time.Minute
	// unfitModelBytes is more than the one engine has, so that no node leases the jobs' items for it.
	unfitModelBytes = 1 << 45
	resendAfter     = 200 * time.Millisecond
	// tenantsAtOnce is the number of tenants of one change of the configuration.
	tenantsAtOnce = 100
)

// errJobAnswer means that the caller API refused a call of the experiment.
const errJobAnswer = failure.Kind("experiment: the caller API refused")

func tenantName(number int) ident.Tenant { return ident.Tenant(fmt.Sprintf("tenant-%04d", number)) }

func tenantKey(number int) string { return "lab-key-of-" + string(tenantName(number)) }

// provisionTenants writes the tenants, their keys and one service, and waits until every node knows them.
func (e *environment) provisionTenants(ctx context.Context, started *fleet.Fleet) error {
	typed := []any{
		&catalog.Model{Name: service, Version: "1", MemoryBytes: unfitModelBytes},
		&catalog.Service{Name: service, Model: service, MaxTokens: maxAnswerTokens, Repeatable: true},
	}
	for number := range e.options.Jobs.Tenants {
		typed = append(typed,
			&catalog.Tenant{Name: tenantName(number), Weight: 1},
			&catalog.Key{ID: string(tenantName(number)), Tenant: tenantName(number), Role: catalog.RoleCaller, Digest: auth.Digest(tenantKey(number))})
		if (number+1)%tenantsAtOnce != 0 && number+1 != e.options.Jobs.Tenants {
			continue
		}
		resources, err := fleet.Encode(typed...)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSetup, err)
		}
		write := func() error {
			return fleet.Apply(ctx, started.Client(), started.AdminURL(started.Nodes[0]), adminKey, resources)
		}
		if err := persist(ctx, write); err != nil {
			return fmt.Errorf("%w: %w", ErrSetup, err)
		}
		typed = nil
	}
	last := tenantKey(e.options.Jobs.Tenants - 1)
	for _, node := range started.Nodes {
		probe := func() error {
			return sendBy(ctx, started.Client(), http.MethodGet, started.CallerURL(node)+"/v1/files", "", last)
		}
		if err := persist(ctx, probe); err != nil {
			return fmt.Errorf("waiting for %s to serve: %w", node.ID, err)
		}
	}
	return nil
}

// inputLines streams the lines of an input file, so that the generator holds none of it.
func inputLines(prefix string, items int) io.Reader {
	reader, writer := io.Pipe()
	go func() { writer.CloseWithError(writeLines(writer, prefix, items)) }()
	return reader
}

func writeLines(out io.Writer, prefix string, items int) error {
	frame := `{"custom_id":"%s-%08d","method":"POST","url":"` + chatPath + `","body":{"model":"` + service + `","max_tokens":16,"messages":[{"role":"user","content":"%s"}]}}` + "\n"
	padding := strings.Repeat("x", max(0, lineBytes-len(fmt.Sprintf(frame, prefix, 0, ""))))
	for number := range items {
		if _, err := fmt.Fprintf(out, frame, prefix, number, padding); err != nil {
			return fmt.Errorf("writing an input line: %w", err)
		}
	}
	return nil
}

// callerAPI calls one node's caller API as one tenant.
type callerAPI struct {
	client    *http.Client
	base, key string
}

// upload streams a file of generated lines and returns its id. A refused upload is sent again.
func (c callerAPI) upload(ctx context.Context, prefix string, items int) (string, error) {
	for {
		var file struct {
			ID string `json:"id"`
		}
		body, contentType := multipartStream(inputLines(prefix, items))
		retry, err := c.call(ctx, http.MethodPost, "/v1/files", contentType, body, &file)
		if err == nil || !retry || !sleep(ctx, resendAfter) {
			return file.ID, err
		}
	}
}

func multipartStream(content io.Reader) (io.Reader, string) {
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { writer.CloseWithError(writeForm(form, content)) }()
	return reader, form.FormDataContentType()
}

func writeForm(form *multipart.Writer, content io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return fmt.Errorf("writing a form: %w", err)
	}
	part, err := form.CreateFormFile("file", "input.jsonl")
	if err != nil {
		return fmt.Errorf("writing a form: %w", err)
	}
	if _, err := io.Copy(part, content); err != nil {
		return fmt.Errorf("writing a form: %w", err)
	}
	return form.Close()
}

// jobState is what the caller API tells of a job.
type jobState struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Output string `json:"output_file_id"`
}

// submit submits an uploaded file as a job. Resends name the same file, so they find the first job.
func (c callerAPI) submit(ctx context.Context, file string) (jobState, error) {
	request, err := json.Marshal(map[string]string{"input_file_id": file, "endpoint": chatPath, "completion_window": "24h"})
	if err != nil {
		return jobState{}, fmt.Errorf("encoding a job: %w", err)
	}
	for {
		var accepted jobState
		retry, err := c.call(ctx, http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(request), &accepted)
		if err == nil || !retry || !sleep(ctx, resendAfter) {
			return accepted, err
		}
	}
}

func (c callerAPI) state(ctx context.Context, job string) (found jobState, err error) {
	_, err = c.call(ctx, http.MethodGet, "/v1/batches/"+job, "", nil, &found)
	return found, err
}

// download reads a file and returns its bytes and lines.
func (c callerAPI) download(ctx context.Context, file string) (size, lines int, err error) {
	ctx, cancel := context.WithTimeout(ctx, uploadTimeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, "/v1/files/"+file+"/content", "", nil)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := response.Body.Read(buffer)
		size += count
		lines += bytes.Count(buffer[:count], []byte{'\n'})
		if err == io.EOF {
			return size, lines, nil
		}
		if err != nil {
			return size, lines, fmt.Errorf("downloading %s: %w", file, err)
		}
	}
}

func (c callerAPI) send(ctx context.Context, method, path, contentType string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", path, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", path, err)
	}
	return response, nil
}

// call makes one call and says whether a failed one is worth another try.
func (c callerAPI) call(ctx context.Context, method, path, contentType string, body io.Reader, answer any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, uploadTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, contentType, body)
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return true, fmt.Errorf("reading the answer of %s: %w", path, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		retry = response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests
		return retry, fmt.Errorf("%w: %s: %d: %.300s", errJobAnswer, path, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return false, fmt.Errorf("decoding the answer of %s: %w", path, err)
	}
	return false, nil
}
