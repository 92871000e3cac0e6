package connpool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/httpsyntax"
)

// Call describes one request.
type Call struct {
	Address string
	Method  string
	// Target is the request target: the path and the query.
	Target  string
	Host    string
	Headers http.Header
	Body    []byte
	// Accept reports whether a response belongs to this call; nil accepts every response. A rejected response is
	// discarded and the next one on the connection is read.
	Accept func(*http.Response) bool
	// BeforeSend is called once a connection is open, right before the request is written; nil is not called. If it returns an error the
	// request is not sent.
	BeforeSend func() error
}

// maxStrayResponses is the maximum number of responses to other requests that are discarded before the response to a
// call.
const maxStrayResponses = 2

// maxStrayBodyBytes is the maximum body size of a discarded response.
const maxStrayBodyBytes = 1 << 20

// keepAliveFraction is the part of the keep-alive timeout announced by the server during which a connection is reused.
// The rest is a safety margin.
const keepAliveFraction = 0.6

// Answer is the response to one call. Body must be closed. The connection is reused only if Body was read to the end.
type Answer struct {
	Response *http.Response
	// Body is the response body. It returns io.EOF only at an end that the framing confirms, see Framed.
	Body io.ReadCloser
	// Framed reports whether the response has a content length or is chunked. Otherwise the body ends when the
	// connection is closed.
	Framed bool
}

// Do sends one request and reads the response header. When ctx ends, the connection is closed, also while the body is
// being read. An error wraps ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, error) {
	encoded, err := Encode(call)
	if err != nil {
		return nil, err
	}
	acquired, err := p.acquire(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			p.putBack(acquired)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = acquired.conn.Close() })
	response, err := acquired.exchange(call, encoded)
	if err != nil {
		stop()
		_ = acquired.conn.Close()
		p.dropIdleAfterTimeout(ctx, acquired)
		return nil, err
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return &Answer{
		Response: response,
		Body:     &body{source: response.Body, pool: p, connection: acquired, response: response, stop: stop, framed: framed},
		Framed:   framed,
	}, nil
}

// dropIdleAfterTimeout closes the idle connections to an address after a call on a reused connection timed out. All
// open connections to an address can become unresponsive at once without a reset, while new ones work; without this,
// each following call would time out on the next idle connection.
func (p *Pool) dropIdleAfterTimeout(ctx context.Context, failed *connection) {
	if failed.reused && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.Forget(failed.address)
	}
}

// exchange writes the encoded request and reads the header of its response.
func (c *connection) exchange(call *Call, encoded []byte) (*http.Response, error) {
	written, err := c.conn.Write(encoded)
	if err != nil {
		if written == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: writing: %w", ErrNoResponse, err)
	}
	request := &http.Request{Method: call.Method}
	for range maxStrayResponses + 1 {
		response, err := c.readHead(request)
		if err != nil {
			return nil, fmt.Errorf("%w: reading: %w", ErrNoResponse, err)
		}
		if err := checkHead(response); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Accept == nil || call.Accept(response) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBodyBytes); err != io.EOF || response.Close {
			return nil, fmt.Errorf("%w: the answer belongs to another request", ErrNoResponse)
		}
	}
	return nil, fmt.Errorf("%w: only answers to other requests", ErrNoResponse)
}

// checkHead returns an error that wraps ErrNotHTTP if a head is none of HTTP/1: the standard library decodes any version of the protocol and any
// status of three characters. A switch of the protocol, which is never asked for, is none either: what follows is no answer.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 || response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: a head of %s with status %q", ErrNotHTTP, response.Proto, response.Status)
	}
	return nil
}

// readHead reads the head of the next response on the connection.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.bounded.beginHead()
	defer c.bounded.endHead()
	return http.ReadResponse(c.reader, request)
}

// check returns an error that wraps ErrMalformed if a part of the request does not fit the grammar of HTTP, or frames the message.
func (c *Call) check() error {
	if err := cmp.Or(httpsyntax.CheckMethod(c.Method), httpsyntax.CheckWritable(c.Target), httpsyntax.CheckHost(c.Host)); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for name, values := range c.Headers {
		if err := httpsyntax.CheckFraming(name); err != nil {
			return fmt.Errorf("%w: %w: %q", ErrMalformed, err, name)
		}
		for _, value := range values {
			if err := httpsyntax.CheckHeader(name, value); err != nil {
				return fmt.Errorf("%w: %w: %q", ErrMalformed, err, name)
			}
		}
	}
	return nil
}

// Encode returns the request as one byte slice, so that it is sent with one system call. It writes nothing that is not exactly one request: its
// error wraps ErrMalformed and ErrNotSent.
func Encode(call *Call) ([]byte, error) {
	if err := call.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	encoded := make([]byte, 0, len(call.Body)+1024)
	encoded = append(encoded, call.Method...)
	encoded = append(encoded, ' ')
	encoded = append(encoded, call.Target...)
	encoded = append(encoded, " HTTP/1.1\r\nHost: "...)
	encoded = append(encoded, call.Host...)
	encoded = append(encoded, "\r\n"...)
	for name, values := range call.Headers {
		for _, value := range values {
			encoded = append(encoded, name...)
			encoded = append(encoded, ": "...)
			encoded = append(encoded, value...)
			encoded = append(encoded, "\r\n"...)
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		encoded = append(encoded, "Content-Length: "...)
		encoded = strconv.AppendInt(encoded, int64(len(call.Body)), 10)
		encoded = append(encoded, "\r\n"...)
	}
	encoded = append(encoded, "\r\n"...)
	return append(encoded, call.Body...), nil
}

// body reads a response body and returns the connection to the pool at the end of the body.
type body struct {
	source     io.ReadCloser
	pool       *Pool
	connection *connection
	response   *http.Response
	stop       func() bool
	framed     bool
	done       bool
}

// Read returns io.EOF only if the framing confirms that the body is complete, or if the server closed the connection
// after a response without a length.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.source.Read(buffer)
	if err == io.EOF && !b.done {
		b.finish()
	}
	return count, err
}

// finish returns the connection to the pool if the response allows reuse and no unread bytes are left on it.
func (b *body) finish() {
	b.done = true
	notCanceled := b.stop()
	if !notCanceled || !b.framed || b.response.Close || b.connection.reader.Buffered() > 0 {
		_ = b.connection.conn.Close()
		return
	}
	b.pool.release(b.connection, keepAliveTimeout(b.response.Header))
}

// Close ends the call. Before the end of the body it closes the connection, which signals the server to stop.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.stop()
	return b.connection.conn.Close()
}

// keepAliveTimeout returns how long the connection may be reused, or zero if the server did not announce a timeout.
func keepAliveTimeout(headers http.Header) time.Duration {
	for _, field := range strings.Split(headers.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
		}
	}
	return 0
}
