// Package command applies the commands of the replicated log to the state, with
// one file per group of commands. Commands are deterministic and never panic. A
// malformed or refused command returns an error with a result code and leaves
// the state unchanged, except for its index, its clock and the removal of expired
// writes and load slots.
package command

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// Limits on commands, in bytes. Commands over MaxCommandBytes are refused before
// they are proposed and again when they are applied.
const (
	MaxNameBytes    = 256
	MaxCommandBytes = agreement.MaxCommandBytes
)

// Result is the outcome of one command. Exactly one field is set.
type Result struct {
	Message proto.Message
	Err     *resultcode.Error
}

// Encode sets the command's time to now and returns its log entry. It fails if
// the entry would exceed MaxCommandBytes.
func Encode(now time.Time, body *api.StateCommand) ([]byte, error) {
	body.NowMs = uint64(max(now.UnixMilli(), 0))
	b, err := proto.Marshal(body)
	if err != nil {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "command: %v", err)
	}
	if len(b) > MaxCommandBytes {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "command of %d bytes, at most %d", len(b), MaxCommandBytes)
	}
	return b, nil
}

// Apply decodes the command at the given log index and applies it to s.
func Apply(s *model.State, index uint64, command []byte) Result {
	s.Index = index
	if len(command) > MaxCommandBytes {
		return refuse(resultcode.MessageMalformed, "command of %d bytes, at most %d", len(command), MaxCommandBytes)
	}
	var c api.StateCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return refuse(resultcode.MessageMalformed, "command: %v", err)
	}
	s.NowMS = max(s.NowMS, c.GetNowMs())
	switch b := c.GetBody().(type) {
	case *api.StateCommand_ChangeSettings:
		return changeSettings(s, index, b.ChangeSettings)
	case *api.StateCommand_OpenSession:
		return openSession(s, index, b.OpenSession)
	case *api.StateCommand_EndSession:
		return endSession(s, index, b.EndSession)
	case *api.StateCommand_DrainSession:
		return drainSession(s, index, b.DrainSession)
	case *api.StateCommand_ChangeAssignments:
		return changeAssignments(s, index, b.ChangeAssignments)
	case *api.StateCommand_BeginWrite:
		return beginWrite(s, b.BeginWrite)
	case *api.StateCommand_EndWrite:
		return endWrite(s, b.EndWrite)
	case *api.StateCommand_AcquireLoad:
		return acquireLoad(s, b.AcquireLoad)
	case *api.StateCommand_ReleaseLoad:
		return releaseLoad(s, b.ReleaseLoad)
	}
	return refuse(resultcode.MessageMalformed, "command of unknown kind")
}

func refuse(code resultcode.Code, format string, args ...any) Result {
	return Result{Err: resultcode.Newf(code, format, args...)}
}

func success(m proto.Message) Result { return Result{Message: m} }

// validName reports whether s has 1 to MaxNameBytes bytes.
func validName(s string) bool { return s != "" && len(s) <= MaxNameBytes }
