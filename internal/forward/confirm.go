package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
)

const (
	// reportTimeout bounds how long an engine may take to say which incarnation it is.
	reportTimeout = 400 * time.Millisecond
	// maxReportBytes bounds the body of that response.
	maxReportBytes = 64 << 10
)

var (
	// errOtherIncarnation means that another process than the announced one answers at the
	// target's address, under the same ID. It may run another software version.
	errOtherIncarnation = errors.New("the target has restarted since it was announced")
	errNoReport         = errors.New("the target does not say which incarnation it is")
)

// mustConfirm reports whether the request may only be sent to a process that is known to be
// the announced incarnation of its target. An instance that was frozen or is cut off may
// not have heard that a target has restarted with another software version; what two
// versions write of one stream must not be joined. That concerns the rest of a stream and,
// while the instance hears of no changes, also the beginning of one that may be taken up:
// its version is recorded. A copy of a run's memory is lost with its process.
func (f *Forwarder) mustConfirm(q *request, resume *resumePoint) bool {
	if q.service.Engine == nil || resume.isCopy() {
		return false
	}
	if _, takesUp := f.takesUp(q); takesUp || resume != nil {
		return true
	}
	return q.route.Resumable && f.config.InContact != nil && !f.config.InContact()
}

// confirmIncarnation asks the target over a new connection, which only one process can
// answer, which incarnation it is. One that does not say so is taken for the announced
// one.
func (f *Forwarder) confirmIncarnation(ctx context.Context, conn *targetConn, q *request, e *endpoint) error {
	deadline := time.Now().Add(reportTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", f.config.Engines.ReportPath(), q.route.Host); err != nil {
		return err
	}
	conn.head.BeginHead(maxResponseHeadBytes)
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodGet})
	conn.head.EndHead()
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return err
	}
	if resp.Close || !netconn.IsFramed(resp) || len(body) == maxReportBytes {
		return errNoReport // no request can follow on this connection
	}
	f.recordStatements(e, "report", resp.StatusCode, resp.Header)
	incarnation, ok := f.config.Engines.ReportedIncarnation(body)
	switch {
	case resp.StatusCode != http.StatusOK || !ok:
		f.config.Metrics.Counter("forward.incarnation_not_reported").Inc(1)
	case incarnation != e.incarnation:
		f.config.Metrics.Counter("forward.other_incarnation").Inc(1)
		f.config.Logger.Warn().Str("request", q.id).Str("target", e.id).Int64("announced", e.incarnation).Int64("found", incarnation).Msg("target restarted unannounced")
		return errOtherIncarnation
	default:
		f.config.Metrics.Counter("forward.incarnation_confirmed").Inc(1)
	}
	return conn.SetDeadline(time.Time{})
}
