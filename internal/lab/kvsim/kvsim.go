// Package kvsim is the lab's stand-in for the platform's key-value service: the etcd v3 JSON-over-HTTP mapping over a
// store in memory, and a separate fault port that switches seeded faults on and off. Of the two spellings that the
// mapping allows for a field, it takes the original one (mod_revision), not modRevision.
package kvsim

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/kv/etcdwire"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/lab/simhttp"
)

// maxRequestBytes bounds the body of a request, as etcd does.
const maxRequestBytes = 1536 << 10

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	data   *kvtest.Data
	faults *faultState
}

// New returns a stand-in without faults. The seed drives the faults that are drawn by chance.
func New(seed uint64) *Server {
	return &Server{data: kvtest.NewData(time.Now), faults: newFaultState(seed)}
}

// Data returns the state behind the stand-in.
func (s *Server) Data() *kvtest.Data { return s.data }

// Handler serves the etcd mapping.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.POST(etcdwire.PathRange, unary(s, read, s.serveRange))
	router.POST(etcdwire.PathPut, unary(s, change, s.servePut))
	router.POST(etcdwire.PathDeleteRange, unary(s, change, s.serveDeleteRange))
	router.POST(etcdwire.PathTxn, unary(s, change, s.serveTxn))
	router.POST(etcdwire.PathCompaction, unary(s, change, s.serveCompaction))
	router.POST(etcdwire.PathLeaseGrant, unary(s, change, s.serveLeaseGrant))
	router.POST(etcdwire.PathKeepAlive, unary(s, change, s.serveKeepAlive))
	router.POST(etcdwire.PathRevoke, unary(s, change, s.serveRevoke))
	router.POST(etcdwire.PathWatch, s.serveWatch)
	return router
}

// effect says whether a call may change the state, and so whether its answer is worth losing.
type effect bool

const (
	read   effect = false
	change effect = true
)

// unary adapts a typed call to a handler that applies the faults around it.
func unary[Request, Response any](
	server *Server, kind effect, serve func(Request) (Response, *etcdwire.Error),
) bunrouter.HandlerFunc {
	return func(writer http.ResponseWriter, request bunrouter.Request) error {
		if !server.faults.admit(writer, request.Request) {
			return nil
		}
		var decoded Request
		body := http.MaxBytesReader(writer, request.Body, maxRequestBytes)
		if err := json.NewDecoder(body).Decode(&decoded); err != nil {
			writeError(writer, etcdwire.Error{Code: etcdwire.CodeInvalidArgument, Message: err.Error()})
			return nil
		}
		response, failed := serve(decoded)
		if kind == change && server.faults.loseAnswer() {
			// Closes the connection without an answer: the change has taken effect and its caller cannot tell.
			panic(http.ErrAbortHandler)
		}
		if failed != nil {
			writeError(writer, *failed)
			return nil
		}
		simhttp.WriteJSON(writer, response)
		return nil
	}
}

// statusOfCode maps the codes of errors to HTTP as the mapping's gateway does.
var statusOfCode = map[int]int{
	etcdwire.CodeInvalidArgument:   http.StatusBadRequest,
	etcdwire.CodeNotFound:          http.StatusNotFound,
	etcdwire.CodeResourceExhausted: http.StatusTooManyRequests,
	etcdwire.CodeOutOfRange:        http.StatusBadRequest,
	etcdwire.CodeUnavailable:       http.StatusServiceUnavailable,
}

func writeError(writer http.ResponseWriter, failed etcdwire.Error) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(statusOfCode[failed.Code])
	_ = json.NewEncoder(writer).Encode(failed)
}
