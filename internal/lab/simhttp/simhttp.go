// Package simhttp holds what the HTTP handlers of the lab's stand-ins share.
package simhttp

import (
	"encoding/json"
	"net/http"
)

// MaxRequestBytes bounds the body of a request to a fault port.
const MaxRequestBytes = 1 << 20

// ReadJSON decodes the body of a request and refuses unknown fields. If it reports false, the answer has been written.
func ReadJSON(writer http.ResponseWriter, request *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, MaxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with a body. A client that has gone cannot be told, so a failed write is not reported.
func WriteJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
