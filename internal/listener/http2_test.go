package listener

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	streams  = 40
	pieces   = 30
	oneWrite = "piece "
)

// TestShutdownLetsStreamsOfHTTP2Finish stops a listener while one connection carries many streams, each of which gets most
// of its answer after the stop began. A request that comes after the stop is refused or served whole, never cut.
func TestShutdownLetsStreamsOfHTTP2Finish(t *testing.T) {
	borrowed := httptest.NewUnstartedServer(nil)
	borrowed.StartTLS()
	defer borrowed.Close()
	var begun sync.WaitGroup
	begun.Add(streams)
	proceed := make(chan struct{})
	server := start(t, Options{
		TLS: &tls.Config{Certificates: borrowed.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}},
		Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/late" {
				_, _ = io.WriteString(response, "late")
				return
			}
			controller := http.NewResponseController(response)
			for piece := range pieces {
				_, _ = io.WriteString(response, oneWrite)
				_ = controller.Flush()
				if piece == 0 {
					begun.Done()
					<-proceed
				}
			}
		}),
	})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}}
	bodies := make([]string, streams)
	failures := make([]error, streams)
	var ended sync.WaitGroup
	for index := range streams {
		ended.Go(func() {
			bodies[index], failures[index] = fetch(client, "https://"+server.Address()+"/")
		})
	}
	begun.Wait()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	for {
		body, err := fetch(client, "https://"+server.Address()+"/late")
		if err != nil {
			break
		}
		assert.Equal(t, body, "late")
	}
	close(proceed)
	ended.Wait()
	assert.NilError(t, <-stopped)
	for index := range streams {
		assert.NilError(t, failures[index])
		assert.Equal(t, bodies[index], strings.Repeat(oneWrite, pieces))
	}
}

func fetch(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
