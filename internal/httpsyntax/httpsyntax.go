// Package httpsyntax checks the parts of an HTTP request that others name, before they are written into a connection. A part that does not fit the
// grammar (RFC 9110 and 9112) could end the request and begin another one. It does no I/O.
package httpsyntax

import (
	"net/textproto"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// What a part is that does not fit the grammar.
const (
	ErrMethod = failure.Kind("http syntax: the method is no token")
	ErrTarget = failure.Kind("http syntax: the path is no request target")
	ErrHost   = failure.Kind("http syntax: the host is none")
	ErrName   = failure.Kind("http syntax: the name of a header is no token")
	ErrValue  = failure.Kind("http syntax: the value of a header has characters that none may have")
	// ErrFraming means that a header frames the message, which only its writer does.
	ErrFraming = failure.Kind("http syntax: a header frames the message")
)

// CheckMethod returns ErrMethod unless a method is a token.
func CheckMethod(method string) error {
	if !httpguts.ValidHeaderFieldName(method) {
		return ErrMethod
	}
	return nil
}

// CheckWritable returns ErrTarget if a request target would end the request line, or is empty.
func CheckWritable(target string) error {
	ends := func(char rune) bool { return char <= ' ' || char == 0x7f }
	if target == "" || strings.ContainsFunc(target, ends) {
		return ErrTarget
	}
	return nil
}

// CheckPath returns ErrTarget unless a request target is a path, with or without a query, in the characters that the grammar allows.
func CheckPath(target string) error {
	foreign := func(char rune) bool { return char <= ' ' || char > '~' || char == '#' }
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, foreign) {
		return ErrTarget
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return ErrTarget
	}
	return nil
}

// CheckHost returns ErrHost unless a host can stand in the header of that name.
func CheckHost(host string) error {
	if !httpguts.ValidHostHeader(host) {
		return ErrHost
	}
	return nil
}

// CheckHeader returns ErrName or ErrValue if a header does not fit the grammar.
func CheckHeader(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return ErrName
	case !httpguts.ValidHeaderFieldValue(value):
		return ErrValue
	}
	return nil
}

// CheckID returns ErrValue unless an id is made of visible ASCII characters, so that it can be the value of a header as it is.
func CheckID(id string) error {
	hidden := func(char rune) bool { return char <= ' ' || char > '~' }
	if id == "" || strings.ContainsFunc(id, hidden) {
		return ErrValue
	}
	return nil
}

// CheckFraming returns ErrFraming for the headers that the writer of a message sets itself.
func CheckFraming(name string) error {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Content-Length", "Transfer-Encoding", "Host":
		return ErrFraming
	}
	return nil
}
