package engine

import (
	"encoding/json"
	"io"
	"time"
)

// Work is one accepted generation, with what the engine did for it. Times are
// wall clock microseconds.
type Work struct {
	ID         string `json:"id"`
	AcceptedAt int64  `json:"accepted_at"`
	// ArrivedAt is when the kernel received the request; a stopped process
	// reads it later.
	ArrivedAt    int64 `json:"arrived_at,omitempty"`
	FirstTokenAt int64 `json:"first_token_at,omitempty"`
	EndedAt      int64 `json:"ended_at,omitempty"`
	// Outcome is stop, length, cancelled or failed; empty while it runs.
	Outcome      string `json:"outcome,omitempty"`
	Length       int    `json:"length"`
	Emitted      int    `json:"emitted"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	Priority     int    `json:"priority"`
	Preemptions  int    `json:"preemptions"`
	// StallMicros is the time spent preempted, until the next token came.
	StallMicros int64 `json:"stall_us"`
	Resumes     int   `json:"resumes"`
	// Cold and Leaving describe the engine when the work was accepted.
	Cold    bool `json:"cold"`
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
}

// Order is one order received.
type Order struct {
	ID      string `json:"order_id"`
	Kind    string `json:"kind"`
	Value   string `json:"value"`
	Fencing uint64 `json:"fencing"`
	At      int64  `json:"at"`
	Carried bool   `json:"carried_out"`
}

// Period is a span of time, in wall clock microseconds; Until is 0 while it lasts.
type Period struct {
	From  int64 `json:"from"`
	Until int64 `json:"until"`
}

// Record is what really ran at an engine.
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

	Duplicates     int `json:"duplicates_refused"`
	Full           int `json:"full_refused"`
	Preemptions    int `json:"preemptions"`
	Failed         int `json:"failed"`
	Cancelled      int `json:"cancelled"`
	Tokens         int `json:"tokens"`
	PeakRunning    int `json:"peak_running"`
	PeakResident   int `json:"peak_resident"`
	Steps          int `json:"steps"`
	OverloadSteps  int `json:"cold_overload_steps"`
	PeakColdActive int `json:"peak_cold_running"`

	// Integrals over time, in seconds: the engine had work; sequences ran;
	// sequences waited at the engine.
	BusySeconds    float64 `json:"busy_seconds"`
	RunningSeconds float64 `json:"running_seconds"`
	WaitingSeconds float64 `json:"waiting_seconds"`

	Announced        int64  `json:"announcements"`
	AnnounceFailed   int64  `json:"announcements_failed"`
	AnnounceError    string `json:"announcement_error,omitempty"`
	SwallowedStreams int    `json:"swallowed_connections"`
}

// journal appends facts to a file as they happen, so that they survive a kill.
type journal struct {
	out io.Writer
}

func (j journal) write(kind string, v any) {
	if j.out == nil {
		return
	}
	line, err := json.Marshal(map[string]any{"kind": kind, "at": time.Now().UnixMicro(), "data": v})
	if err == nil {
		_, _ = j.out.Write(append(line, '\n'))
	}
}
