// Package jsonreply writes the responses of the calls for operators that the metrics server
// of an instance serves.
package jsonreply

import (
	"encoding/json"
	"net/http"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Write sends a value with a status.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// WriteError sends an error with the status of its code.
func WriteError(w http.ResponseWriter, err *resultcode.Error) {
	Write(w, err.Code.HTTPStatus(), map[string]string{"error": err.Error()})
}
