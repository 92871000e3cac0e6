package admin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// Bounds of a request's body.
const (
	maxResourceBytes = catalog.MaxSpecBytes + 4<<10
	maxApplyBytes    = 4 << 20
	// noBody is for routes that read none.
	noBody = 0
)

// Query parameters.
const (
	queryDryRun      = "dry_run"
	queryWait        = "wait"
	queryOverwrite   = "overwrite"
	queryComment     = "comment"
	queryBefore      = "before"
	queryLimit       = "limit"
	queryRevision    = "revision"
	queryIncludeKeys = "include_keys"
)

// route is one operation. docs/openapi-admin.yaml lists the same, which a test checks.
type route struct {
	method, path string
	// permission is what the key's role must allow. Changes also need auth.ToChange of each kind they touch.
	permission auth.Permission
	// query lists the parameters the operation reads; others are refused, so that a misspelt dry_run changes nothing.
	query   []string
	maxBody int64
	handle  func(r *request) (any, error)
}

func (s *server) routes() []route {
	change := []string{queryDryRun, queryWait, queryComment}
	return []route{
		{"GET", "/admin/v1/history", auth.PermissionRead, []string{queryBefore, queryLimit}, noBody, s.history},
		{"GET", "/admin/v1/status/configuration", auth.PermissionRead, []string{queryRevision, queryWait}, noBody, s.configurationStatus},
		{"GET", "/admin/v1/status/nodes", auth.PermissionRead, nil, noBody, s.nodes},
		{"GET", "/admin/v1/status/runners", auth.PermissionRead, nil, noBody, s.runners},
		{"POST", "/admin/v1/apply", auth.PermissionConfigure, append(change, queryOverwrite), maxApplyBytes, s.apply},
		{"POST", "/admin/v1/rollback", auth.PermissionConfigure, append(change, queryRevision, queryIncludeKeys), noBody, s.rollback},
		{"GET", "/admin/v1/:kind", auth.PermissionRead, nil, noBody, s.list},
		{"GET", "/admin/v1/:kind/*name", auth.PermissionRead, nil, noBody, s.get},
		{"PUT", "/admin/v1/:kind/*name", auth.PermissionConfigure, change, maxResourceBytes, s.put},
		{"DELETE", "/admin/v1/:kind/*name", auth.PermissionConfigure, change, noBody, s.delete},
	}
}

// request is one authenticated request.
type request struct {
	bunrouter.Request
	key    catalog.Key
	header http.Header
	body   []byte
}

// serve authenticates, checks the role and the form of the request, and writes the answer or the error.
func (s *server) serve(route route) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, incoming bunrouter.Request) error {
		r := &request{Request: incoming, header: w.Header()}
		answer, err := s.answer(w, r, route)
		if err != nil {
			s.writeError(w, r, route, err)
			return nil
		}
		s.metrics.requests.WithLabelValues(route.method, route.path, "ok").Inc()
		writeJSON(w, http.StatusOK, answer)
		return nil
	}
}

func (s *server) answer(w http.ResponseWriter, r *request, route route) (any, error) {
	key, err := s.authenticate(r.Request.Request, route.permission)
	r.key = key
	if err != nil {
		return nil, err
	}
	if err := checkQuery(r.URL.Query(), route.query); err != nil {
		return nil, err
	}
	if err := r.readBody(w, route.maxBody); err != nil {
		return nil, err
	}
	return route.handle(r)
}

// Protect serves the handler only to keys whose role has the permission. It is for what stands beside the API on the
// same listener, such as profiles and metrics.
func Protect(options Options, permission auth.Permission, handler http.Handler) http.Handler {
	guard := newServer(options, nil)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := guard.authenticate(r, permission); err != nil {
			shown := typed(err)
			writeJSON(w, shown.Code.Status(), envelope(shown))
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// authenticate returns the request's key, which must have the permission.
func (s *server) authenticate(r *http.Request, permission auth.Permission) (catalog.Key, error) {
	key, err := auth.Administrator(s.Source.Current(), s.BootstrapDigest, bearer(r))
	if err != nil {
		s.sometimes.Do(func() {
			event.AdminUnauthenticated.Log(s.Logger).Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Err(err).Send()
		})
		return catalog.Key{}, failure.New(failure.CodeInvalidKey, "the API key is missing or unknown").WithCause(err)
	}
	return key, requirePermission(key, permission)
}

func requirePermission(key catalog.Key, permission auth.Permission) error {
	if err := auth.Require(key, permission); err != nil {
		return failure.New(failure.CodeForbidden, "the role %s of this key may not %s", key.Role, permission).WithCause(err)
	}
	return nil
}

// bearer returns the token of the Authorization header, or nothing.
func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

var (
	errNoRoute = failure.New(failure.CodeNotFound, "there is no such path in the administration API")
	errMethod  = failure.New(failure.CodeMethodNotAllowed, "the path does not take this method")
)

func (s *server) refuse(reason *failure.Error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, _ bunrouter.Request) error {
		writeJSON(w, reason.Code.Status(), envelope(reason))
		return nil
	}
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(answer)
}
