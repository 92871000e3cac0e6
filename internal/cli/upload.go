package cli

import (
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
)

const uploadPurpose = "batch"

// uploadOf returns the request that uploads a file. The body is streamed, and opened again for a resend.
func uploadOf(path string) (call, error) {
	if _, err := os.Stat(path); err != nil {
		return call{}, withExit(ExitUsage, fmt.Errorf("reading the file: %w", err))
	}
	boundary := multipart.NewWriter(io.Discard).Boundary()
	return call{
		method: http.MethodPost,
		path:   "/v1/files",
		header: map[string]string{"Content-Type": "multipart/form-data; boundary=" + boundary},
		body:   func() (io.ReadCloser, error) { return streamUpload(path, boundary) },
	}, nil
}

func streamUpload(path, boundary string) (io.ReadCloser, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening the file: %w", err)
	}
	reader, writer := io.Pipe()
	// The goroutine ends when the request has read all or has closed the reader, which the HTTP client always does.
	go func() {
		defer file.Close()
		writer.CloseWithError(writeUpload(writer, boundary, file))
	}()
	return reader, nil
}

func writeUpload(to io.Writer, boundary string, file *os.File) error {
	form := multipart.NewWriter(to)
	if err := form.SetBoundary(boundary); err != nil {
		return fmt.Errorf("writing the upload: %w", err)
	}
	if err := form.WriteField("purpose", uploadPurpose); err != nil {
		return fmt.Errorf("writing the upload: %w", err)
	}
	part, err := form.CreateFormFile("file", filepath.Base(file.Name()))
	if err != nil {
		return fmt.Errorf("writing the upload: %w", err)
	}
	if _, err := io.Copy(part, file); err != nil {
		return fmt.Errorf("reading the file: %w", err)
	}
	if err := form.Close(); err != nil {
		return fmt.Errorf("writing the upload: %w", err)
	}
	return nil
}
