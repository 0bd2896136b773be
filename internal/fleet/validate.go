package fleet

import (
	"math"

	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// maxIncarnation is the start of an incarnation in the year 9999, in Unix ms. A later one
// would keep every further incarnation with the same ID or address out for good.
const maxIncarnation = 253_402_300_799_999

// Validate returns an error with code AnnouncementMalformed unless the announcement names a
// target that can be used or, if its state is Gone, one that has left.
func (a *Announcement) Validate() error {
	const code = resultcode.AnnouncementMalformed
	if err := identifier.CheckID(code, "target", a.ID); err != nil {
		return err
	}
	if _, known := statesToProto[a.State]; !known {
		return resultcode.Newf(code, "target %q: unknown state", a.ID)
	}
	if a.Incarnation < 0 || a.Incarnation > maxIncarnation || a.Slots < 0 || a.Slots > math.MaxInt32 || a.ColdRemaining < 0 {
		return resultcode.Newf(code, "target %q: the start, the slots or the cold time is out of range", a.ID)
	}
	if a.State == Gone && a.Service == "" && a.Address == "" && a.FailureDomain == "" {
		return nil // a target that leaves need not say more than its ID
	}
	for _, err := range []error{
		identifier.CheckName(code, "service", a.Service),
		identifier.CheckAddress(code, "address", a.Address),
		identifier.CheckName(code, "failure domain", a.FailureDomain),
		identifier.CheckOptionalName(code, "version", a.Version),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error with code MessageMalformed unless callers and other instances
// can be told of the watcher.
func (w *Watcher) Validate() error {
	const code = resultcode.MessageMalformed
	for _, err := range []error{
		identifier.CheckName(code, "instance", w.Name),
		identifier.CheckOptionalName(code, "region", w.Region),
		identifier.CheckOptionalName(code, "failure domain", w.FailureDomain),
		checkOptionalAddress(code, "address", w.Address),
		checkOptionalAddress(code, "internal address", w.InternalAddress),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkOptionalAddress(code resultcode.Code, what, s string) error {
	if s == "" {
		return nil
	}
	return identifier.CheckAddress(code, what, s)
}

// Validate returns an error with code MessageMalformed unless the version is one that a
// target can announce.
func (v ServiceVersion) Validate() error {
	const code = resultcode.MessageMalformed
	if err := identifier.CheckName(code, "service", v.Service); err != nil {
		return err
	}
	return identifier.CheckOptionalName(code, "version", v.Version)
}
