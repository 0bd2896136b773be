package engine

import (
	"encoding/json"
	"io"
	"time"
)

// Work is the record of one accepted generation. Times are wall clock
// microseconds.
type Work struct {
	ID         string `json:"id"`
	AcceptedAt int64  `json:"accepted_at"`
	// ArrivedAt is when the kernel received the request; a process that was
	// stopped accepts it later.
	ArrivedAt    int64 `json:"arrived_at,omitempty"`
	FirstTokenAt int64 `json:"first_token_at,omitempty"`
	EndedAt      int64 `json:"ended_at,omitempty"`
	// Outcome is stop, length, cancelled or failed; empty while the generation runs.
	Outcome      string `json:"outcome,omitempty"`
	Length       int    `json:"length"`
	Emitted      int    `json:"emitted"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	Priority     int    `json:"priority"`
	Preemptions  int    `json:"preemptions"`
	// StallMicros is the sum of the times between each preemption and the next token.
	StallMicros int64 `json:"stall_us"`
	Resumes     int   `json:"resumes"`
	// Cold, Leaving and Running describe the engine when it accepted the work.
	Cold    bool `json:"cold"`
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
}

// Order is one order that the engine received, whether or not it carried the order
// out.
type Order struct {
	ID         string `json:"order_id"`
	Kind       string `json:"kind"`
	Value      string `json:"value"`
	Fencing    uint64 `json:"fencing"`
	At         int64  `json:"at"`
	CarriedOut bool   `json:"carried_out"`
}

// Period is a span of time in wall clock microseconds. Until is 0 if the period has
// not ended.
type Period struct {
	From  int64 `json:"from"`
	Until int64 `json:"until"`
}

// Record is what an engine executed. Times are wall clock microseconds.
type Record struct {
	Target        string `json:"target"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
	StartedAt     int64  `json:"started_at"`
	TakenAt       int64  `json:"taken_at"`
	LeavingAt     int64  `json:"leaving_at,omitempty"`

	Work        []Work   `json:"work"`
	WorkDropped int      `json:"work_dropped"`
	Orders      []Order  `json:"orders"`
	Cold        []Period `json:"cold"`

	DuplicatesRefused int `json:"duplicates_refused"`
	FullRefused       int `json:"full_refused"`
	Preemptions       int `json:"preemptions"`
	Failed            int `json:"failed"`
	Cancelled         int `json:"cancelled"`
	Tokens            int `json:"tokens"`
	PeakRunning       int `json:"peak_running"`
	PeakResident      int `json:"peak_resident"`
	Steps             int `json:"steps"`
	OverloadSteps     int `json:"cold_overload_steps"`
	PeakColdRunning   int `json:"peak_cold_running"`

	// Totals in seconds: time in which the engine had work, and the time that
	// each sequence ran and waited at the engine, summed over all sequences.
	BusySeconds    float64 `json:"busy_seconds"`
	RunningSeconds float64 `json:"running_seconds"`
	WaitingSeconds float64 `json:"waiting_seconds"`

	Announcements       int64  `json:"announcements"`
	AnnouncementsFailed int64  `json:"announcements_failed"`
	AnnouncementError   string `json:"announcement_error,omitempty"`
	// BrokenStreams is the number of streams that broke the protocol.
	BrokenStreams        int `json:"broken_streams,omitempty"`
	SwallowedConnections int `json:"swallowed_connections"`
}

// journal writes each event when it happens, so that a process that is killed
// leaves a record.
type journal struct {
	w io.Writer
}

func (j journal) writeEvent(kind string, v any) {
	if j.w == nil {
		return
	}
	line, err := json.Marshal(map[string]any{"kind": kind, "at": time.Now().UnixMicro(), "data": v})
	if err == nil {
		_, _ = j.w.Write(append(line, '\n'))
	}
}
