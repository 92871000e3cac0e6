package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// jobCallTimeout bounds a call to the job store that moves no file.
	jobCallTimeout = 30 * time.Second
)

type fileObject struct {
	ID        ident.File `json:"id"`
	Object    string     `json:"object"`
	Bytes     int64      `json:"bytes"`
	CreatedAt int64      `json:"created_at"`
	ExpiresAt int64      `json:"expires_at,omitempty"`
	Filename  string     `json:"filename"`
	Purpose   string     `json:"purpose"`
	Status    string     `json:"status"`
}

type deletedObject struct {
	ID      ident.File `json:"id"`
	Object  string     `json:"object"`
	Deleted bool       `json:"deleted"`
}

func newFileObject(file job.File) fileObject {
	return fileObject{
		ID:        file.ID,
		Object:    "file",
		Bytes:     file.Bytes,
		CreatedAt: seconds(file.Created),
		ExpiresAt: seconds(file.Expires),
		Filename:  file.Name,
		Purpose:   file.Purpose,
		Status:    "processed",
	}
}

// seconds is a time as the dialect writes it; zero for none.
func seconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.Unix()
}

// jobCall returns the context of a call to the job store.
func (e *exchange) jobCall() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.request.Context(), jobCallTimeout)
}

func (e *exchange) fileID() ident.File { return ident.File(e.objectID()) }

func (g *Gateway) listFiles(exchange *exchange) error {
	limit, err := exchange.pageLimit(defaultFilePage, maximumFilePage)
	if err != nil {
		return err
	}
	ctx, cancel := exchange.jobCall()
	defer cancel()
	files, more, err := g.options.Jobs.Files(ctx, exchange.key.Tenant, ident.File(exchange.after()), limit)
	if err != nil {
		return err
	}
	page := listObject[fileObject]{Object: "list", Data: make([]fileObject, 0, len(files)), HasMore: more}
	for _, file := range files {
		page.Data = append(page.Data, newFileObject(file))
	}
	if len(files) > 0 {
		page.FirstID, page.LastID = string(files[0].ID), string(files[len(files)-1].ID)
	}
	return exchange.answer(page)
}

func (g *Gateway) getFile(exchange *exchange) error {
	ctx, cancel := exchange.jobCall()
	defer cancel()
	file, err := g.options.Jobs.File(ctx, exchange.key.Tenant, exchange.fileID())
	if err != nil {
		return err
	}
	return exchange.answer(newFileObject(file))
}

func (g *Gateway) deleteFile(exchange *exchange) error {
	ctx, cancel := exchange.jobCall()
	defer cancel()
	if err := g.options.Jobs.DeleteFile(ctx, exchange.key.Tenant, exchange.fileID()); err != nil {
		return err
	}
	return exchange.answer(deletedObject{ID: exchange.fileID(), Object: "file", Deleted: true})
}

// fileContent streams a file. The first piece is read before the status line is sent, so that a file that cannot be
// read gets an error answer; a failure after it breaks the connection, so that the caller sees that a part is missing.
func (g *Gateway) fileContent(exchange *exchange) error {
	content, err := g.options.Jobs.Content(exchange.request.Context(), exchange.key.Tenant, exchange.fileID())
	if err != nil {
		return err
	}
	defer content.Close()
	buffer := make([]byte, pieceBytes)
	for {
		count, err := io.ReadFull(content, buffer)
		ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !ended {
			return failure.As(err)
		}
		if !exchange.writePiece(buffer[:count]) || ended {
			return nil
		}
	}
}

// writePiece writes the next piece of a download, or reports that the caller is gone.
func (e *exchange) writePiece(piece []byte) bool {
	if !e.began {
		e.Header().Set("Content-Type", "application/octet-stream")
		e.WriteHeader(http.StatusOK)
	}
	err := e.writePieces(piece)
	if err == nil {
		// The store may take its time with the next piece: that is not the caller's.
		err = e.flush()
	}
	if err != nil {
		e.callerFailed(err)
		return false
	}
	return true
}
