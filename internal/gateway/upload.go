package gateway

import (
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"
	"unicode"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// purposeBatch is the one purpose files are kept for.
	purposeBatch = "batch"
	// formOverheadBytes is what the form around a file may add.
	formOverheadBytes = 64 << 10
	// maximumFieldBytes bounds a field of the form.
	maximumFieldBytes = 4 << 10
	// maximumFormParts bounds the parts of the form.
	maximumFormParts = 16
	// maximumFileName bounds the name of a file, in bytes.
	maximumFileName = 255
	// minimumUploadRate is the rate, in bytes per second, below which an upload is ended: an idle one would hold one
	// of few slots.
	minimumUploadRate = 16 << 10
)

// createFile streams an upload into the job store with bounded memory.
func (g *Gateway) createFile(exchange *exchange) error {
	limit := g.limits.FileBytes
	if exchange.request.ContentLength > limit+formOverheadBytes {
		return bodyFailure(&http.MaxBytesError{Limit: limit})
	}
	exchange.request.Body = http.MaxBytesReader(exchange.response, exchange.request.Body, limit+formOverheadBytes)
	reader, err := exchange.request.MultipartReader()
	if err != nil {
		return failure.New(failure.CodeInvalidRequest, "the body must be multipart/form-data with the fields purpose and file").WithCause(err)
	}
	upload := &upload{exchange: exchange, form: reader, limit: limit, started: time.Now()}
	upload.extendReadDeadline()
	if err := upload.findFile(); err != nil {
		return err
	}
	spec := job.FileSpec{Tenant: exchange.key.Tenant, Name: upload.name, Purpose: purposeBatch}
	file, err := g.options.Jobs.CreateFile(exchange.request.Context(), spec, upload)
	if upload.failed != nil {
		return upload.failed
	}
	if err != nil {
		return err
	}
	return exchange.answer(newFileObject(file))
}

// upload reads the file out of a form. The fields after the file are checked before the end of the file is reported,
// so that the store never keeps a file whose form is wrong.
type upload struct {
	exchange *exchange
	form     *multipart.Reader
	file     *multipart.Part
	name     string
	purpose  string
	parts    int
	received int64
	limit    int64
	started  time.Time
	ended    bool
	// failed is why the upload itself failed; it counts more than what the store made of it.
	failed error
}

// findFile reads the fields before the file.
func (u *upload) findFile() error {
	for {
		part, err := u.nextPart()
		if errors.Is(err, io.EOF) {
			return failure.New(failure.CodeInvalidRequest, "the form has no file").WithParam("file")
		}
		if err != nil {
			return err
		}
		if part.FormName() == "file" {
			u.file = part
			u.name = cleanFileName(part.FileName())
			return nil
		}
		if err := u.field(part); err != nil {
			return err
		}
	}
}

// nextPart returns the next part of the form, or io.EOF.
func (u *upload) nextPart() (*multipart.Part, error) {
	u.parts++
	if u.parts > maximumFormParts {
		return nil, failure.New(failure.CodeInvalidRequest, "the form has more than %d parts", maximumFormParts)
	}
	part, err := u.form.NextPart()
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, bodyFailure(err)
	}
	return part, nil
}

func (u *upload) field(part *multipart.Part) error {
	value, err := io.ReadAll(io.LimitReader(part, maximumFieldBytes+1))
	if err != nil {
		return bodyFailure(err)
	}
	if len(value) > maximumFieldBytes {
		return failure.New(failure.CodeInvalidRequest, "a field of the form is longer than %d bytes", maximumFieldBytes)
	}
	if part.FormName() == "purpose" {
		u.purpose = string(value)
		return u.checkPurpose()
	}
	return nil
}

func (u *upload) checkPurpose() error {
	if u.purpose == purposeBatch {
		return nil
	}
	return failure.New(failure.CodeInvalidRequest, "purpose must be %s", purposeBatch).WithParam("purpose")
}

// Read implements io.Reader over the content of the file.
func (u *upload) Read(buffer []byte) (int, error) {
	if u.failed != nil {
		return 0, u.failed
	}
	if u.ended {
		return 0, io.EOF
	}
	u.extendReadDeadline()
	count, err := u.file.Read(buffer)
	u.received += int64(count)
	if u.received > u.limit {
		u.failed = bodyFailure(&http.MaxBytesError{Limit: u.limit})
		return 0, u.failed
	}
	if errors.Is(err, io.EOF) {
		return count, u.end()
	}
	if err != nil {
		u.failed = bodyFailure(err)
		return count, u.failed
	}
	return count, nil
}

// end checks the rest of the form and returns io.EOF if all is well.
func (u *upload) end() error {
	u.failed = u.checkRest()
	if u.failed != nil {
		return u.failed
	}
	u.ended = true
	_ = u.exchange.control.SetReadDeadline(time.Time{})
	return io.EOF
}

func (u *upload) checkRest() error {
	for {
		part, err := u.nextPart()
		if errors.Is(err, io.EOF) {
			return u.checkPurpose()
		}
		if err != nil {
			return err
		}
		if part.FormName() == "file" {
			return failure.New(failure.CodeInvalidRequest, "the form has more than one file").WithParam("file")
		}
		if err := u.field(part); err != nil {
			return err
		}
	}
}

// extendReadDeadline lets the upload go on for as long as its mean rate stays above the minimum.
func (u *upload) extendReadDeadline() {
	earned := time.Duration(u.received/minimumUploadRate) * time.Second
	_ = u.exchange.control.SetReadDeadline(u.started.Add(u.exchange.gateway.limits.BodyTimeout + earned))
}

// cleanFileName bounds a caller's file name and drops what cannot be shown.
func cleanFileName(name string) string {
	cleaned := strings.Map(func(character rune) rune {
		if unicode.IsPrint(character) {
			return character
		}
		return -1
	}, strings.ToValidUTF8(name, ""))
	for len(cleaned) > maximumFileName {
		runes := []rune(cleaned)
		cleaned = string(runes[:len(runes)-1])
	}
	return cleaned
}
