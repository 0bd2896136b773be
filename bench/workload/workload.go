// Package workload generates seeded arrivals of generations for the measured
// deployments: bursts, a few large client accounts, and heavy-tailed output
// lengths that differ by class and account.
package workload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one generation that a caller asks for.
type Arrival struct {
	At           time.Duration // since the start
	Account      string
	Model        string
	Class        string
	PromptTokens int
	OutputTokens int // what the engine will produce; not known to the system
	MaxTokens    int // what the request allows
	// Prefix numbers the text that the first PrefixTokens tokens of the
	// prompt share with other requests; 0 is none.
	Prefix       int
	PrefixTokens int
}

// Class describes the requests of one class.
type Class struct {
	Name   string
	Model  string
	Share  float64 // of the requests
	Short  bool
	Prompt LogNormal
	Output LogNormal
	// MaxTokens is what requests ask for at most.
	MaxTokens int
}

// LogNormal is a heavy-tailed distribution of token counts.
type LogNormal struct {
	Median float64
	Sigma  float64
}

// Profile describes one deployment's generations.
type Profile struct {
	Name    string
	Team    string
	Service string
	Targets int
	// Accounts are listed by size: account i sends in proportion to 1/(i+1).
	Accounts []string
	Classes  []Class
	// AccountSpread is the sigma of the factor by which accounts' outputs
	// differ in length.
	AccountSpread float64
	// Bursts: the arrival rate is BurstFactor times the base rate for
	// periods of BurstMean, BurstShare of the time.
	BurstFactor float64
	BurstShare  float64
	BurstMean   time.Duration
	// Prefixes is how many shared prompt prefixes there are per account.
	Prefixes int
}

var accounts = []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"}

// BalleSahel is the auction deployment: long lot appraisals and short grade
// checks.
func BalleSahel() Profile {
	return Profile{
		Name: "balle-sahel", Team: "balle-sahel", Service: "assistant-llm", Targets: 20, Accounts: accounts,
		Classes: []Class{
			{Name: "appraisal", Model: "appraiser", Share: 0.6, Prompt: LogNormal{160, 0.6}, Output: LogNormal{260, 1.1}, MaxTokens: 4096},
			{Name: "check", Model: "appraiser", Share: 0.4, Short: true, Prompt: LogNormal{80, 0.4}, Output: LogNormal{8, 0.5}, MaxTokens: 64},
		},
		AccountSpread: 0.4, BurstFactor: 2.5, BurstShare: 0.15, BurstMean: 4 * time.Second, Prefixes: 3,
	}
}

// MaktabatAlQafila is the library deployment: reading guides and catalogue
// note summaries.
func MaktabatAlQafila() Profile {
	return Profile{
		Name: "maktabat-al-qafila", Team: "maktabat-al-qafila", Service: "guide-writers", Targets: 12, Accounts: accounts,
		Classes: []Class{
			{Name: "guide", Model: "guide", Share: 0.45, Prompt: LogNormal{240, 0.5}, Output: LogNormal{380, 0.9}, MaxTokens: 4096},
			{Name: "summary", Model: "guide", Share: 0.55, Short: true, Prompt: LogNormal{200, 0.5}, Output: LogNormal{40, 0.5}, MaxTokens: 256},
		},
		AccountSpread: 0.3, BurstFactor: 2, BurstShare: 0.2, BurstMean: 6 * time.Second, Prefixes: 4,
	}
}

// Profiles returns both deployments.
func Profiles() []Profile { return []Profile{BalleSahel(), MaktabatAlQafila()} }

// generator draws the requests of one profile.
type generator struct {
	profile Profile
	rng     *rand.Rand
	spread  map[string]float64 // factor on output lengths per account
	weights []float64          // cumulative shares of accounts
}

func newGenerator(p Profile, seed uint64) *generator {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), spread: map[string]float64{}}
	sum := 0.0
	for i, a := range p.Accounts {
		g.spread[a] = math.Exp(p.AccountSpread * g.rng.NormFloat64())
		sum += 1 / float64(i+1)
		g.weights = append(g.weights, sum)
	}
	return g
}

// Generate returns the arrivals of the given duration at a mean rate in
// requests per second. The same seed gives the same requests at any rate.
func Generate(p Profile, seed uint64, rate float64, duration time.Duration) []Arrival {
	requests := newGenerator(p, seed)
	times := rand.New(rand.NewPCG(seed, 1))
	base := rate / (1 + p.BurstShare*(p.BurstFactor-1))
	var out []Arrival
	var now, phaseEnd float64 // seconds
	burst := true             // the first phase is not a burst
	for {
		for now >= phaseEnd {
			burst = !burst
			mean := p.BurstMean.Seconds()
			if !burst {
				mean *= (1 - p.BurstShare) / p.BurstShare
			}
			phaseEnd += mean * times.ExpFloat64()
		}
		r := base
		if burst {
			r *= p.BurstFactor
		}
		next := now + times.ExpFloat64()/r
		if next > phaseEnd {
			now = phaseEnd // the exponential distribution has no memory
			continue
		}
		if now = next; now >= duration.Seconds() {
			return out
		}
		a := requests.draw()
		a.At = time.Duration(now * float64(time.Second))
		out = append(out, a)
	}
}

func (g *generator) draw() Arrival {
	c := g.class()
	a := Arrival{Account: g.account(), Model: c.Model, Class: c.Name, MaxTokens: c.MaxTokens}
	a.PromptTokens = g.tokens(c.Prompt, 1)
	a.OutputTokens = min(g.tokens(c.Output, g.spread[a.Account]), c.MaxTokens)
	if n := g.profile.Prefixes; n > 0 {
		a.Prefix = 1 + g.rng.IntN(n)
		a.PrefixTokens = a.PromptTokens / 2
	}
	return a
}

func (g *generator) class() Class {
	x := g.rng.Float64()
	for _, c := range g.profile.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return g.profile.Classes[0]
}

func (g *generator) account() string {
	x := g.rng.Float64() * g.weights[len(g.weights)-1]
	for i, w := range g.weights {
		if x < w {
			return g.profile.Accounts[i]
		}
	}
	return g.profile.Accounts[0]
}

func (g *generator) tokens(d LogNormal, factor float64) int {
	return max(1, int(d.Median*factor*math.Exp(d.Sigma*g.rng.NormFloat64())))
}

// Sample returns n requests of the profile without arrival times, to estimate
// the load that a rate means.
func Sample(p Profile, seed uint64, n int) []Arrival {
	g := newGenerator(p, seed)
	out := make([]Arrival, n)
	for i := range out {
		out[i] = g.draw()
	}
	return out
}
