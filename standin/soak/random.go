package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// otherText is the text of answers that are not the expected ones.
const otherText = "no such thing here\n"

// seededMisbehavior chooses odd answers for targets while they misbehave.
type seededMisbehavior struct {
	mu    sync.Mutex
	rng   *rand.Rand
	count int // odd answers so far
}

func newSeededMisbehavior(seed uint64) *seededMisbehavior {
	return &seededMisbehavior{rng: rand.New(rand.NewPCG(seed, 100))}
}

// strikes reports whether the next answer of a target breaks the protocol.
func (m *seededMisbehavior) strikes(t *target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rng.Float64() >= t.misbehavingShare() {
		return false
	}
	m.count++
	return true
}

func (m *seededMisbehavior) oddAnswers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count
}

func (m *seededMisbehavior) answer(t *target, r *http.Request) *oddAnswer {
	if !m.strikes(t) {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	choices := plainAnswers()
	if t.self.Service == modelService {
		choices = firstAnswers(1 + m.rng.IntN(streamEvents/2))
		if r.Header.Get(platformtest.LastEventIDHeader) != "" {
			choices = append(choices, nextAnswers()...)
		}
	}
	return choices[m.rng.IntN(len(choices))]
}

func (m *seededMisbehavior) copyAnswer(t *target, _ copyCall) *oddCopyAnswer {
	if !m.strikes(t) {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	choices := copyAnswers()
	return choices[m.rng.IntN(len(choices))]
}

// textAnswer is an answer with a text, which may end before the text does.
func textAnswer(status int, missing int, how ending) *oddAnswer {
	return &oddAnswer{status: status, text: otherText, contentType: "text/plain", framing: withLength, missing: missing, ending: how}
}

// textAnswers returns answers with other statuses than 200, with and without a stamp, and
// refusals that say in a header that the request did not run.
func textAnswers() []*oddAnswer {
	var all []*oddAnswer
	for _, status := range []int{201, 202, 204, 206, 299, 301, 304, 307, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		for _, unstamped := range []bool{false, true} {
			a := textAnswer(status, 0, finished)
			a.unstamped = unstamped
			if status == http.StatusNoContent || status == http.StatusNotModified {
				a.text = ""
			}
			a.notRun = status == http.StatusMisdirectedRequest
			all = append(all, a)
		}
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		refusal := textAnswer(status, 0, finished)
		refusal.notRun = true
		all = append(all, refusal)
	}
	return all
}

// firstAnswers returns answers of targets that may begin a stream. Those that end early do so
// after the given number of events.
func firstAnswers(events int) []*oddAnswer {
	return append(textAnswers(),
		&oddAnswer{ending: closed}, &oddAnswer{events: events, ending: closed}, &oddAnswer{events: events, ending: reset},
		&oddAnswer{events: events, framing: unframed, ending: reset}, &oddAnswer{events: events, tail: "id: 4\ndata: 4", ending: closed},
		&oddAnswer{events: events, withoutIDs: true, ending: closed}, &oddAnswer{unstamped: true, events: events}, &oddAnswer{unnamed: true, events: events},
		&oddAnswer{events: allEvents, framing: unframed},
	)
}

// nextAnswers returns answers of targets that continue a stream.
func nextAnswers() []*oddAnswer {
	return []*oddAnswer{
		{}, {framing: unframed}, {fromStart: true, events: allEvents}, {fromStart: true, events: 9, ending: reset}, {skip: 3, events: allEvents},
		{withoutIDs: true, events: allEvents}, {withoutIDs: true, fromStart: true, events: allEvents}, {twoIDs: true, events: allEvents},
		{text: otherText, contentType: "text/plain"}, {text: otherText + "\n\n", framing: unframed}, {text: "data: other\n\n", framing: unframed},
		{events: 3, tail: otherText + "\n\n"}, {events: 3, tail: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", ending: reset},
	}
}

// plainAnswers returns answers of targets of the plain service.
func plainAnswers() []*oddAnswer {
	all := append(textAnswers(),
		textAnswer(0, 5, closed), textAnswer(0, 5, reset), &oddAnswer{ending: closed}, &oddAnswer{framing: unframed, ending: reset, text: otherText},
		&oddAnswer{framing: unframed}, &oddAnswer{framing: withLength, unstamped: true}, &oddAnswer{framing: withLength, unnamed: true},
	)
	for _, again := range []repetition{atOnce, withNext} {
		for _, unnamed := range []bool{false, true} {
			refusal := textAnswer(http.StatusServiceUnavailable, 0, kept)
			refusal.notRun, refusal.repeat, refusal.repeatUnnamed = true, again, unnamed
			answer := &oddAnswer{framing: withLength, ending: kept, repeat: again, repeatUnnamed: unnamed}
			all = append(all, refusal, answer)
		}
	}
	for _, extra := range []string{otherText, "\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"} {
		all = append(all, &oddAnswer{framing: withLength, ending: kept, extra: extra})
	}
	return all
}

// copyAnswers returns answers to copy requests.
func copyAnswers() []*oddCopyAnswer {
	return []*oddCopyAnswer{
		{status: http.StatusServiceUnavailable, withHandle: true}, {status: http.StatusServiceUnavailable}, {status: http.StatusNotFound},
		{status: http.StatusInternalServerError}, {silent: true}, {repeats: true},
	}
}
