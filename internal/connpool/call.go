package connpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request to make.
type Call struct {
	Address string
	Method  string
	// Target is the path with its query, as it stands in the request line.
	Target  string
	Host    string
	Headers http.Header
	Body    []byte
	// Accept says whether an answer belongs to this call; nil accepts all. An answer that is not accepted is read away
	// and the next one on the connection is looked at.
	Accept func(*http.Response) bool
}

// maximumSurplusAnswers bounds the foreign answers read away before a call's own.
const maximumSurplusAnswers = 2

// maximumSurplusBytes bounds the body of a foreign answer that is read away.
const maximumSurplusBytes = 1 << 20

// keepAliveShare is the part of the time the other side says it keeps a connection during which it is used again.
const keepAliveShare = 0.6

// Answer is the answer to one call. Its Body must be closed; only a body read to its end leaves the connection open.
type Answer struct {
	Response *http.Response
	// Body is the answer's body. It returns io.EOF only at an end that the framing proves, see Framed.
	Body io.ReadCloser
	// Framed says that the answer has a length or chunks. Without, its end is the end of the connection.
	Framed bool
}

// Do makes one call. When ctx ends, the connection is closed, also while the body is read. The error wraps ErrNotSent
// or ErrNoAnswer.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, error) {
	taken, err := p.take(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = taken.conn.Close() })
	response, err := taken.exchange(call)
	if err != nil {
		stop()
		_ = taken.conn.Close()
		p.suspect(ctx, taken)
		return nil, err
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return &Answer{
		Response: response,
		Body:     &body{source: response.Body, pool: p, connection: taken, response: response, stop: stop, framed: framed},
		Framed:   framed,
	}, nil
}

// suspect closes the connections kept beside one on which a call ran out of time. Connections may fall silent all at once
// and without a reset, while new ones work: the calls after it would each lose their time on the next of them.
func (p *Pool) suspect(ctx context.Context, failed *connection) {
	if failed.reused && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.Forget(failed.address)
	}
}

// exchange writes the request and reads the head of its answer.
func (c *connection) exchange(call *Call) (*http.Response, error) {
	written, err := c.conn.Write(encode(call))
	if err != nil {
		if written == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: writing: %w", ErrNoAnswer, err)
	}
	request := &http.Request{Method: call.Method}
	for range maximumSurplusAnswers + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, fmt.Errorf("%w: reading: %w", ErrNoAnswer, err)
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		if call.Accept == nil || call.Accept(response) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maximumSurplusBytes); err != io.EOF || response.Close {
			return nil, fmt.Errorf("%w: the answer belongs to another request", ErrNoAnswer)
		}
	}
	return nil, fmt.Errorf("%w: only answers to other requests", ErrNoAnswer)
}

// encode writes the request as one block, so that it leaves in one system call.
func encode(call *Call) []byte {
	block := make([]byte, 0, len(call.Body)+1024)
	block = append(block, call.Method...)
	block = append(block, ' ')
	block = append(block, call.Target...)
	block = append(block, " HTTP/1.1\r\nHost: "...)
	block = append(block, call.Host...)
	block = append(block, "\r\n"...)
	for name, values := range call.Headers {
		for _, value := range values {
			block = append(block, name...)
			block = append(block, ": "...)
			block = append(block, value...)
			block = append(block, "\r\n"...)
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		block = append(block, "Content-Length: "...)
		block = strconv.AppendInt(block, int64(len(call.Body)), 10)
		block = append(block, "\r\n"...)
	}
	block = append(block, "\r\n"...)
	return append(block, call.Body...)
}

// body reads an answer's body and gives the connection back at its end.
type body struct {
	source     io.ReadCloser
	pool       *Pool
	connection *connection
	response   *http.Response
	stop       func() bool
	framed     bool
	done       bool
}

// Read returns io.EOF only where the framing says that the body is whole, or the other side closed an answer without
// a length.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.source.Read(buffer)
	if err == io.EOF && !b.done {
		b.finish()
	}
	return count, err
}

// finish keeps the connection if the answer allows it and nothing is left over on it.
func (b *body) finish() {
	b.done = true
	undisturbed := b.stop()
	if !undisturbed || !b.framed || b.response.Close || b.connection.reader.Buffered() > 0 {
		_ = b.connection.conn.Close()
		return
	}
	b.pool.keep(b.connection, keepAliveTime(b.response.Header))
}

// Close ends the call; before the end of the body this closes the connection, which tells the other side to stop.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.stop()
	return b.connection.conn.Close()
}

// keepAliveTime returns how long the connection may be used again, or zero where the other side does not say.
func keepAliveTime(headers http.Header) time.Duration {
	for _, field := range strings.Split(headers.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(float64(seconds) * keepAliveShare * float64(time.Second))
		}
	}
	return 0
}
