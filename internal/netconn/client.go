package netconn

import (
	"context"
	"net"
	"net/http"
)

// NewCallClient returns an HTTP client for calls to targets whose answers carry no ID of
// the call. It opens a connection for each call and closes it after the answer: on a kept
// connection, an earlier answer that a faulty target writes once more cannot be told from
// the next one. It never sends a call twice and follows no redirects. maxHeadBytes bounds
// the head of an answer.
func NewCallClient(dial func(ctx context.Context, network, address string) (net.Conn, error), maxHeadBytes int64) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
