package forward

import "net/http"

// callerResponse is the response to one request. It knows whether its header was written:
// an error can be reported with a status only before that.
type callerResponse struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader writes the header.
func (c *callerResponse) WriteHeader(status int) {
	c.begun = true
	c.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (c *callerResponse) Write(b []byte) (int, error) {
	c.begun = true
	return c.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (c *callerResponse) Unwrap() http.ResponseWriter { return c.ResponseWriter }
