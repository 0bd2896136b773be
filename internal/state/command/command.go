// Package command carries out the commands of the replicated log: one file per
// family. Every function here is deterministic and total. A command that is
// malformed or refused gives a coded error and leaves the state as it was,
// except for the state's clock and index.
package command

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// Bounds on commands. A longer one is refused before it is proposed and again
// when applied.
const (
	MaxNameBytes    = 256
	MaxCommandBytes = agreement.MaxCommandBytes
)

// Result is the outcome of one command. Exactly one field is set.
type Result struct {
	Message proto.Message
	Err     *resultcode.Error
}

// Encode returns the log entry for a command body proposed at now.
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

// Apply decodes and carries out the command at a log index.
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

func ok(m proto.Message) Result { return Result{Message: m} }

// validName reports whether a name is present and bounded.
func validName(s string) bool { return s != "" && len(s) <= MaxNameBytes }
