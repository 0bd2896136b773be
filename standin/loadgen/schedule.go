package loadgen

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/expected"
)

// Kinds of requests in a schedule.
const (
	KindGenerate = "generate"
	KindRead     = "read"
	KindWrite    = "write"
)

// Profile describes what the callers of one deployment send, as read from
// deploy/<name>/load.toml.
type Profile struct {
	Team         string   `toml:"team"`
	Model        string   `toml:"model"`
	PlainService string   `toml:"plain_service"`
	ReadPaths    []string `toml:"read_paths"`
	WritePaths   []string `toml:"write_paths"`
	// Locations are assigned to the callers in turn.
	Locations []Location `toml:"places"`
	// Classes are the request classes of generations, each with its share of all generations.
	Classes []ClassLoad `toml:"classes"`
	// Accounts are the client accounts, each with its share of the requests.
	Accounts []AccountLoad `toml:"accounts"`
}

// Location is the region and failure domain of a caller.
type Location struct {
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
}

// ClassLoad is one class of generations. Short selects short outputs.
type ClassLoad struct {
	Name  string  `toml:"name"`
	Short bool    `toml:"short"`
	Share float64 `toml:"share"`
	// MaxTokens is the output limit that callers send.
	MaxTokens int `toml:"max_tokens"`
	// PrefixBytes is the size of the prefix that all prompts of an account and
	// class share; BodyBytes is the mean size of the rest.
	PrefixBytes int `toml:"prefix_bytes"`
	BodyBytes   int `toml:"body_bytes"`
}

// AccountLoad is one client account's part of the load.
type AccountLoad struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Load holds the seed, duration and request rates of a run.
type Load struct {
	Seed uint64
	// Duration is the span in which requests arrive.
	Duration time.Duration
	// GenerateRate, ReadRate and WriteRate are mean arrivals per second.
	GenerateRate, ReadRate, WriteRate float64
	// BurstFactor is the rate in the last BurstLength of every BurstPeriod relative
	// to the rate between bursts; the mean rate does not change. There are no bursts if it is 0 or 1.
	BurstFactor              float64
	BurstPeriod, BurstLength time.Duration
	// RepeatShare is the share of protected writes sent again with the same key.
	RepeatShare float64
}

// Arrival is one scheduled request. At is the time since the start of the run;
// Account and Class are indexes in Accounts and Classes of the profile.
type Arrival struct {
	At      time.Duration
	Kind    string
	Account int
	Class   int
	Prompt  string
	Path    string
	Key     string // idempotency key if the request is a write
	Repeat  bool   // whether to send the write again after its response
}

// Schedule returns all arrivals in order of time. They depend only on its
// arguments, not on responses, so every policy under test gets the same arrivals.
func Schedule(p Profile, l Load) []Arrival {
	var out []Arrival
	for kind, rate := range map[string]float64{KindGenerate: l.GenerateRate, KindRead: l.ReadRate, KindWrite: l.WriteRate} {
		rng := rand.New(rand.NewPCG(l.Seed, uint64(len(kind))<<8|uint64(kind[0])))
		for i, at := range l.arrivalTimes(rate, rng) {
			out = append(out, p.newArrival(kind, l, i, at, rng))
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int {
		if a.At != b.At {
			return int(a.At - b.At)
		}
		return strings.Compare(a.Kind, b.Kind)
	})
	return out
}

// arrivalTimes draws the arrivals of a Poisson process with bursts: it draws them
// at the peak rate and discards some of them between bursts.
func (l Load) arrivalTimes(rate float64, rng *rand.Rand) []time.Duration {
	if rate <= 0 {
		return nil
	}
	base, peak := rate, rate
	if l.hasBursts() {
		burstShare := float64(l.BurstLength) / float64(l.BurstPeriod)
		base = rate / (1 - burstShare + burstShare*l.BurstFactor)
		peak = base * l.BurstFactor
	}
	var out []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= l.Duration {
			return out
		}
		current := base
		if l.hasBursts() && at%l.BurstPeriod >= l.BurstPeriod-l.BurstLength {
			current = peak
		}
		if rng.Float64()*peak < current {
			out = append(out, at)
		}
	}
}

func (l Load) hasBursts() bool {
	return l.BurstFactor > 1 && l.BurstPeriod > l.BurstLength && l.BurstLength > 0
}

func (p Profile) newArrival(kind string, l Load, i int, at time.Duration, rng *rand.Rand) Arrival {
	a := Arrival{At: at, Kind: kind, Account: pickWeighted(rng, len(p.Accounts), func(i int) float64 { return p.Accounts[i].Share })}
	switch kind {
	case KindGenerate:
		a.Class = pickWeighted(rng, len(p.Classes), func(i int) float64 { return p.Classes[i].Share })
		a.Prompt = p.buildPrompt(a, l.Seed, i, rng)
	case KindRead:
		a.Path = fmt.Sprintf("%s%d", p.ReadPaths[i%len(p.ReadPaths)], rng.IntN(10_000))
	case KindWrite:
		a.Path = p.WritePaths[i%len(p.WritePaths)]
		a.Key = fmt.Sprintf("w-%d-%d", l.Seed, i)
		a.Repeat = rng.Float64() < l.RepeatShare
	}
	return a
}

func (p Profile) buildPrompt(a Arrival, seed uint64, i int, rng *rand.Rand) string {
	c := p.Classes[a.Class]
	marker := ""
	if c.Short {
		marker = expected.ShortMarker
	}
	prefix := repeatTo(fmt.Sprintf("%s %s %s ", p.Team, p.Accounts[a.Account].Name, c.Name), c.PrefixBytes)
	body := repeatTo(fmt.Sprintf("request %d of seed %d ", i, seed), int(float64(c.BodyBytes)*(0.5+rng.Float64())))
	return prefix + body + marker
}

// repeatTo repeats text until it has size bytes. A text that is longer is returned
// unchanged.
func repeatTo(text string, size int) string {
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// pickWeighted draws an index below n with probability proportional to its weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	x := rng.Float64() * total
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}
