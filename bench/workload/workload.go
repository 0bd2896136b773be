// Package workload generates seeded arrivals of generation requests for the
// measured deployments: with bursts, a few large client accounts, and
// heavy-tailed output lengths that differ by class and account.
package workload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one generation request and its time of arrival.
type Arrival struct {
	At           time.Duration // time since the start of the workload
	Account      string
	Model        string
	Class        string
	PromptTokens int
	OutputTokens int // number of tokens that the engine will produce; hidden from the system
	MaxTokens    int // limit on output tokens that the request states
	// Prefix identifies the text that the first PrefixTokens tokens of the
	// prompt share with other requests; 0 means no shared text.
	Prefix       int
	PrefixTokens int
}

// Class describes the requests of one class. Short marks classes with short
// outputs.
type Class struct {
	Name   string
	Model  string
	Share  float64 // share of all requests
	Short  bool
	Prompt LogNormal
	Output LogNormal
	// MaxTokens is the limit on output tokens in each request.
	MaxTokens int
}

// LogNormal is a heavy-tailed distribution of token counts. Sigma is the standard
// deviation of the logarithm.
type LogNormal struct {
	Median float64
	Sigma  float64
}

// Profile describes one deployment and its generation requests.
type Profile struct {
	Name    string
	Team    string
	Service string
	Targets int
	// Accounts is ordered by size: account i sends in proportion to 1/(i+1).
	Accounts []string
	Classes  []Class
	// AccountSigma is the sigma of the log-normal factor by which the output
	// lengths of accounts differ.
	AccountSigma float64
	// During bursts the arrival rate is BurstFactor times the base rate. They
	// last BurstMean on average and take up BurstShare of the time.
	BurstFactor float64
	BurstShare  float64
	BurstMean   time.Duration
	// Prefixes is the number of shared prompt prefixes per account.
	Prefixes int
}

var accountNames = []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"}

// BalleSahel returns the profile of the auction deployment: long lot appraisals
// and short grade checks.
func BalleSahel() Profile {
	return Profile{
		Name: "balle-sahel", Team: "balle-sahel", Service: "assistant-llm", Targets: 20, Accounts: accountNames,
		Classes: []Class{
			{Name: "appraisal", Model: "appraiser", Share: 0.6, Prompt: LogNormal{160, 0.6}, Output: LogNormal{260, 1.1}, MaxTokens: 4096},
			{Name: "check", Model: "appraiser", Share: 0.4, Short: true, Prompt: LogNormal{80, 0.4}, Output: LogNormal{8, 0.5}, MaxTokens: 64},
		},
		AccountSigma: 0.4, BurstFactor: 2.5, BurstShare: 0.15, BurstMean: 4 * time.Second, Prefixes: 3,
	}
}

// MaktabatAlQafila returns the profile of the library deployment: reading guides
// and catalogue note summaries.
func MaktabatAlQafila() Profile {
	return Profile{
		Name: "maktabat-al-qafila", Team: "maktabat-al-qafila", Service: "guide-writers", Targets: 12, Accounts: accountNames,
		Classes: []Class{
			{Name: "guide", Model: "guide", Share: 0.45, Prompt: LogNormal{240, 0.5}, Output: LogNormal{380, 0.9}, MaxTokens: 4096},
			{Name: "summary", Model: "guide", Share: 0.55, Short: true, Prompt: LogNormal{200, 0.5}, Output: LogNormal{40, 0.5}, MaxTokens: 256},
		},
		AccountSigma: 0.3, BurstFactor: 2, BurstShare: 0.2, BurstMean: 6 * time.Second, Prefixes: 4,
	}
}

// Profiles returns the profiles of both deployments.
func Profiles() []Profile { return []Profile{BalleSahel(), MaktabatAlQafila()} }

// generator draws random requests of one profile.
type generator struct {
	profile           Profile
	rng               *rand.Rand
	outputFactors     map[string]float64 // factor on output lengths, by account
	cumulativeWeights []float64          // running sums of the accounts' weights, which are 1/(i+1)
}

func newGenerator(p Profile, seed uint64) *generator {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), outputFactors: map[string]float64{}}
	sum := 0.0
	for i, a := range p.Accounts {
		g.outputFactors[a] = math.Exp(p.AccountSigma * g.rng.NormFloat64())
		sum += 1 / float64(i+1)
		g.cumulativeWeights = append(g.cumulativeWeights, sum)
	}
	return g
}

// Generate returns the arrivals within the duration at a mean rate in requests
// per second. With the same seed, the requests are the same at any rate; only
// their times and number differ.
func Generate(p Profile, seed uint64, rate float64, duration time.Duration) []Arrival {
	gen := newGenerator(p, seed)
	timeRNG := rand.New(rand.NewPCG(seed, 1))
	baseRate := rate / (1 + p.BurstShare*(p.BurstFactor-1))
	var arrivals []Arrival
	var now, phaseEnd float64 // times in seconds
	burst := true             // inverted before the first arrival, so the first phase is not a burst
	for {
		for now >= phaseEnd {
			burst = !burst
			mean := p.BurstMean.Seconds()
			if !burst {
				mean *= (1 - p.BurstShare) / p.BurstShare
			}
			phaseEnd += mean * timeRNG.ExpFloat64()
		}
		phaseRate := baseRate
		if burst {
			phaseRate *= p.BurstFactor
		}
		next := now + timeRNG.ExpFloat64()/phaseRate
		if next > phaseEnd {
			now = phaseEnd // exponential times between arrivals are memoryless, so draw a new one at the new rate
			continue
		}
		if now = next; now >= duration.Seconds() {
			return arrivals
		}
		a := gen.drawRequest()
		a.At = time.Duration(now * float64(time.Second))
		arrivals = append(arrivals, a)
	}
}

func (g *generator) drawRequest() Arrival {
	c := g.drawClass()
	a := Arrival{Account: g.drawAccount(), Model: c.Model, Class: c.Name, MaxTokens: c.MaxTokens}
	a.PromptTokens = g.drawTokens(c.Prompt, 1)
	a.OutputTokens = min(g.drawTokens(c.Output, g.outputFactors[a.Account]), c.MaxTokens)
	if n := g.profile.Prefixes; n > 0 {
		a.Prefix = 1 + g.rng.IntN(n)
		a.PrefixTokens = a.PromptTokens / 2
	}
	return a
}

func (g *generator) drawClass() Class {
	x := g.rng.Float64()
	for _, c := range g.profile.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return g.profile.Classes[0]
}

func (g *generator) drawAccount() string {
	x := g.rng.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	for i, w := range g.cumulativeWeights {
		if x < w {
			return g.profile.Accounts[i]
		}
	}
	return g.profile.Accounts[0]
}

func (g *generator) drawTokens(d LogNormal, factor float64) int {
	return max(1, int(d.Median*factor*math.Exp(d.Sigma*g.rng.NormFloat64())))
}

// Sample returns n requests of the profile without arrival times, to estimate
// the load that an arrival rate causes.
func Sample(p Profile, seed uint64, n int) []Arrival {
	g := newGenerator(p, seed)
	out := make([]Arrival, n)
	for i := range out {
		out[i] = g.drawRequest()
	}
	return out
}
