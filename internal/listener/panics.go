package listener

import (
	"bytes"
	"log"
	"net/http"
	"runtime/debug"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
)

// LogPanics returns a handler that logs a panic of the next one, with the id of its request and the stack, and breaks the connection off. The
// HTTP server would do the latter alone: a request would end without an answer and without a line.
func LogPanics(next http.Handler, logger zerolog.Logger, idOf func(*http.Request) string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if recovered != http.ErrAbortHandler {
				event.CallerPanic.Log(logger).Str("request", idOf(request)).Any("panic", recovered).Bytes("stack", debug.Stack()).Send()
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(writer, request)
	})
}

// FaultLog returns a log for what the HTTP server of a listener reports, each line of it an event.
func FaultLog(logger zerolog.Logger, name string) *log.Logger {
	return log.New(faultWriter{logger: logger, name: name}, "", 0)
}

// faultWriter turns what net/http logs about a connection into an event.
type faultWriter struct {
	logger zerolog.Logger
	name   string
}

// Write implements io.Writer over one line.
func (w faultWriter) Write(line []byte) (int, error) {
	event.ListenerFault.Log(w.logger).Str("listener", w.name).Bytes("fault", bytes.TrimSpace(line)).Send()
	return len(line), nil
}
