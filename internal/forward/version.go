package forward

import (
	"context"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/streamversion"
)

const (
	// maxLocalStreams bounds the streams whose version an instance remembers without peers.
	maxLocalStreams = 4096
	// takeUpMargin is added to a caller's deadline for how long its stream is remembered.
	takeUpMargin = 2 * time.Second
)

// StreamVersions remembers which software version began a stream, by the ID of the caller
// attempt that brought its first event.
type StreamVersions interface {
	Record(id string, r streamversion.Record)
	Find(ctx context.Context, service, id string) streamversion.Finding
}

// takesUp returns whether the caller takes up a stream that it has events of, and the ID
// of the attempt that brought the first one.
func (f *Forwarder) takesUp(q *request) (first string, ok bool) {
	first = q.header.Get(f.config.Headers.Resumes)
	return first, first != "" || q.header.Get(f.config.Headers.LastEventID) != ""
}

// requireVersion sets the service and the version that must continue the stream which the
// caller takes up. If nobody remembers them, the only ones that there are have begun it;
// with several, the request is refused, since what two of them write does not fit together.
func (f *Forwarder) requireVersion(ctx context.Context, q *request) error {
	first, ok := f.takesUp(q)
	if !ok {
		return nil
	}
	found := f.config.StreamVersions.Find(ctx, q.service.Name, first)
	view, _ := f.config.Views.View()
	if !found.Known {
		found.Versions = append(found.Versions, view.Versions(q.service.Name)...)
		return f.requireOnlyVersion(q, first, found)
	}
	if service, ok := view.Manifest.Service(found.Service); ok && q.route.Leads(found.Service) {
		q.service = service
	}
	q.version = &found.Version
	if q.service.Name != found.Service || !f.table.hasVersion(found.Service, found.Version) {
		f.config.Metrics.Counter("forward.version_gone").Inc(1)
		return resultcode.Newf(resultcode.StreamVersionGone, "the route leads to no target of %q with version %q, which began the stream of attempt %s", found.Service, found.Version, first)
	}
	return nil
}

// requireOnlyVersion is requireVersion for a stream that nobody remembers, with the
// versions that the service has or had. An instance that reaches too few control instances
// may not have heard of one.
func (f *Forwarder) requireOnlyVersion(q *request, first string, found streamversion.Finding) error {
	slices.Sort(found.Versions)
	versions := slices.Compact(found.Versions)
	if q.route.IsSplit() || len(versions) > 1 || !found.Complete {
		f.config.Metrics.Counter("forward.version_unknown").Inc(1)
		return resultcode.Newf(resultcode.StreamVersionUnknown, "it is not known which of the versions %q of %q (all of them: %t), or of another service of the route, began the stream of attempt %s", versions, q.service.Name, found.Complete, first)
	}
	if len(versions) == 1 {
		q.version = &versions[0]
	}
	return nil
}

// noteVersion is called with the first event of a stream: from then on only targets of
// the same version may continue it.
func (f *Forwarder) noteVersion(q *request, e *endpoint) {
	if q.version == nil {
		q.version = &e.version
	}
	if !q.route.Resumable {
		return
	}
	first, ok := f.takesUp(q)
	if !ok {
		first = q.id
	}
	if first != "" {
		f.config.StreamVersions.Record(first, streamversion.Record{Service: e.service, Version: *q.version, Split: q.route.IsSplit(), Until: q.callerDeadline.Add(takeUpMargin)})
	}
}

// hasVersion reports whether a target of the version may get new work.
func (t *table) hasVersion(service, version string) bool {
	return slices.ContainsFunc(t.usableEndpoints(service), func(e *endpoint) bool { return e.version == version })
}
