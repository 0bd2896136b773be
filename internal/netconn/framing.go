package netconn

import "net/http"

// IsFramed reports whether a response has a length or chunks, or never has a body. Any other
// ends with its connection, so that a cut one cannot be told from a complete one.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}
