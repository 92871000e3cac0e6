package admin

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
)

const (
	// headerChangeID lets a client resend a change whose answer was lost.
	headerChangeID = "Change-Id"
	// headerChangeResend says that a change with this id was sent before and its outcome isn't known.
	headerChangeResend = "Change-Resend"
	maxChangeID        = 64
	maxComment         = 1 << 10
	// maxWait bounds how long an answer is held back until a change is in force.
	maxWait       = 30 * time.Second
	anyRevision   = "*"
	mediaTypeYAML = "application/yaml"
	mediaTypeJSON = "application/json"
)

func checkQuery(query url.Values, known []string) error {
	for name, values := range query {
		if !slices.Contains(known, name) {
			return failure.New(failure.CodeInvalidRequest, "there is no query parameter %q here", name).WithParam(name)
		}
		if len(values) > 1 {
			return failure.New(failure.CodeInvalidRequest, "the query parameter %q stands twice", name).WithParam(name)
		}
	}
	return nil
}

// readBody reads the body within its bound.
func (r *request) readBody(w http.ResponseWriter, most int64) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.CodeBodyTooLarge, "the body is longer than %d bytes", most).WithCause(err)
	}
	if err != nil {
		return failure.New(failure.CodeInvalidRequest, "the body could not be read").WithCause(err)
	}
	r.body = body
	return nil
}

// manifests parses the body by its media type.
func (r *request) manifests() ([]catalog.Manifest, error) {
	declared, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil {
		declared = mediaTypeJSON
	}
	switch declared {
	case mediaTypeYAML:
		return catalog.ParseManifests(r.body)
	case mediaTypeJSON:
		return catalog.ParseJSONManifests(r.body)
	default:
		return nil, failure.New(failure.CodeInvalidRequest, "the Content-Type must be %s or %s, not %s",
			mediaTypeJSON, mediaTypeYAML, declared).WithParam("Content-Type")
	}
}

// reference returns the resource that the path names.
func (r *request) reference() (catalog.Reference, error) {
	kind, err := r.kind()
	if err != nil {
		return catalog.Reference{}, err
	}
	name := r.Param("name")
	if r.URL.RawPath != "" {
		// The router matches the escaped path if there is one.
		if name, err = url.PathUnescape(name); err != nil {
			return catalog.Reference{}, failure.New(failure.CodeInvalidRequest, "the path is not escaped correctly").WithCause(err)
		}
	}
	if name == "" {
		return catalog.Reference{}, failure.New(failure.CodeInvalidRequest, "the path must name a resource").WithParam("name")
	}
	return catalog.Reference{Kind: kind, Name: name}, nil
}

func (r *request) kind() (catalog.Kind, error) {
	kind := catalog.Kind(r.Param("kind"))
	if !kind.Known() {
		return "", failure.New(failure.CodeNotFound, "there is no kind of resource %q", kind).WithParam("kind")
	}
	return kind, nil
}

func (r *request) flag(name string) (bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	set, err := strconv.ParseBool(text)
	if err != nil {
		return false, failure.New(failure.CodeInvalidRequest, "%s must be true or false", name).WithParam(name)
	}
	return set, nil
}

func (r *request) number(name string, fallback, most int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 || number > most {
		return 0, failure.New(failure.CodeInvalidRequest, "%s must be a whole number from 0 to %d", name, most).WithParam(name)
	}
	return number, nil
}

// wait returns how long to wait until the change is in force, or zero.
func (r *request) wait() (time.Duration, error) {
	text := r.URL.Query().Get(queryWait)
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, failure.New(failure.CodeInvalidRequest, "wait must be a duration from 0s to %s, for example 5s", maxWait).WithParam(queryWait)
	}
	return wait, nil
}

// guard is the state that a change requires of a resource.
type guard struct {
	// given says that there is a guard at all.
	given bool
	// any says that every state will do: an explicit overwrite.
	any bool
	// revision is what the resource must be at; zero means that it must not exist.
	revision int64
}

// guardOfHeaders reads If-Match and If-None-Match.
func (r *request) guardOfHeaders() (guard, error) {
	if none := r.Header.Get("If-None-Match"); none != "" {
		if none != anyRevision {
			return guard{}, failure.New(failure.CodeInvalidRequest, "If-None-Match must be *").WithParam("If-None-Match")
		}
		return guard{given: true}, nil
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return guard{}, nil
	}
	if match == anyRevision {
		return guard{given: true, any: true}, nil
	}
	revision, err := strconv.ParseInt(strings.Trim(match, `"`), 10, 64)
	if err != nil || revision < 0 {
		return guard{}, failure.New(failure.CodeInvalidRequest, "If-Match must be a revision, for example %q, or *", `"12"`).WithParam("If-Match")
	}
	return guard{given: true, revision: revision}, nil
}

// changeID returns the client's id of the change, made unique to the key, or nothing.
func (r *request) changeID() (string, error) {
	id := r.Header.Get(headerChangeID)
	if id == "" {
		return "", nil
	}
	if len(id) > maxChangeID || strings.ContainsFunc(id, func(letter rune) bool { return letter <= ' ' || letter > '~' }) {
		return "", failure.New(failure.CodeInvalidRequest, "%s must have at most %d printable ASCII characters and no space",
			headerChangeID, maxChangeID).WithParam(headerChangeID)
	}
	return r.key.ID + "/" + id, nil
}

// changeResend reports whether the client says that it has sent the change before.
func (r *request) changeResend() (bool, error) {
	text := r.Header.Get(headerChangeResend)
	if text == "" {
		return false, nil
	}
	resent, err := strconv.ParseBool(text)
	if err != nil {
		return false, failure.New(failure.CodeInvalidRequest, "%s must be true or false", headerChangeResend).WithParam(headerChangeResend)
	}
	return resent, nil
}

func (r *request) comment() (string, error) {
	comment := r.URL.Query().Get(queryComment)
	if len(comment) > maxComment {
		return "", failure.New(failure.CodeInvalidRequest, "comment must have at most %d bytes", maxComment).WithParam(queryComment)
	}
	return comment, nil
}
