// Command decisions compares the system's admission and routing decisions with
// the baselines of bench/baseline. It simulates the engines with a simple model. With
// the same seed, each policy gets the same arrivals and output lengths. The command
// prints means over the seeds and ratios to the best baseline.
package main

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/bench/baseline"
	"github.com/endivetrack/endivetrack/bench/workload"
)

// contender is one of the compared policies.
type contender struct {
	name      string
	newPolicy func(s scenario) policy
}

// scenario holds the inputs of one simulation, except the arrival rate.
type scenario struct {
	profile   workload.Profile
	model     EngineModel
	seed      uint64
	instances int // number of entry instances, each of which runs its own copy of a baseline policy
}

// newBaseline returns a policy that runs one copy of a baseline per entry instance.
func (s scenario) newBaseline(newPolicy func() baseline.Policy) policy {
	return newDistributedBaseline(s.instances, s.profile.Targets, s.seed, newPolicy)
}

// contenders lists the compared policies; the first is the system's own.
var contenders = []contender{
	{"endivetrack", func(s scenario) policy { return newShardPolicy(s.profile) }},
	{"round robin", func(s scenario) policy {
		return s.newBaseline(func() baseline.Policy { return &baseline.RoundRobin{} })
	}},
	{"least outstanding", func(s scenario) policy {
		return s.newBaseline(func() baseline.Policy { return baseline.LeastOutstanding{} })
	}},
	{"two choices", func(s scenario) policy {
		return s.newBaseline(func() baseline.Policy { return baseline.TwoChoices{} })
	}},
	{"fixed concurrency", func(s scenario) policy {
		limit := max(1, estimateCapacity(s.profile, s.model, s.seed).concurrency/s.instances)
		return s.newBaseline(func() baseline.Policy { return baseline.FixedConcurrency{Limit: limit} })
	}},
}

// capacity is the load that one engine can take if it serves a profile's requests.
// stepTime returns the mean step time at a load, which is given as a share of rate.
type capacity struct {
	concurrency int     // number of average requests that fill the engine's memory or bring its step time to targetGap
	rate        float64 // requests per second at that concurrency
	stepTime    func(load float64) time.Duration
}

// estimateCapacity computes the capacity from mean values over a random sample of
// requests: the prompt and output lengths, and the number of tokens that a running
// request has in memory at a random moment.
func estimateCapacity(p workload.Profile, m EngineModel, seed uint64) capacity {
	var prompt, output, resident float64
	sample := workload.Sample(p, seed, 20000)
	for _, a := range sample {
		prompt += float64(a.PromptTokens)
		output += float64(a.OutputTokens)
		resident += float64(a.OutputTokens) * (float64(a.PromptTokens) + float64(a.OutputTokens)/2)
	}
	resident /= output
	prompt /= float64(len(sample))
	output /= float64(len(sample))
	// stepSeconds returns the mean step time with n running sequences. In each
	// step, n/output of the sequences finish (output is the mean output length),
	// and as many join and prefill their prompts.
	stepSeconds := func(n float64) float64 {
		return m.Base.Seconds() + n*(m.PerSequence.Seconds()+resident*m.PerToken.Seconds()+prompt/output*m.PerPrefill.Seconds())
	}
	var c capacity
	for n := 1; n <= m.MaxRunning && float64(n)*resident <= float64(m.Memory) && stepSeconds(float64(n)) <= targetGap.Seconds(); n++ {
		c.concurrency, c.rate = n, float64(n)/stepSeconds(float64(n))/output
	}
	perSequence := stepSeconds(1) - stepSeconds(0)
	c.stepTime = func(load float64) time.Duration {
		// n sequences produce one token each per step, together load*rate*output
		// tokens/s; the second line solves n = tokens/s * step time for n.
		tokens := load * c.rate * output
		n := tokens * stepSeconds(0) / (1 - tokens*perSequence)
		return time.Duration(stepSeconds(n) * float64(time.Second))
	}
	return c
}

// resultKey holds the indexes of the profile, the load and the policy that were
// simulated.
type resultKey struct {
	profile, load, policy int
}

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds to simulate, starting with seed 1")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/3), "simulations that run at the same time")
	instances := flag.Int("instances", 1, "entry instances that each run a copy of the baselines; with 1 the baselines have exact counts")
	quick := flag.Bool("quick", false, "simulate only the loads (in percent: 85 and 130) that have goals")
	flag.Parse()
	profiles := workload.Profiles()
	loads := []int{50, 70, 85, 100, 130} // arrival rates in percent of the engines' capacity
	if *quick {
		loads = []int{85, 130}
	}
	results := simulateAll(profiles, loads, *seeds, *workers, *instances)
	for i, p := range profiles {
		fmt.Printf("\n%s: %d targets, %d seeds, baselines at %d instances\n", p.Name, p.Targets, *seeds, *instances)
		for l, load := range loads {
			printLoad(load, func(policy int) Result { return results[resultKey{i, l, policy}] })
		}
		var evenStepMS float64
		for seed := range *seeds {
			evenStepMS += estimateCapacity(p, defaultModel, uint64(seed+1)).stepTime(0.85).Seconds() * 1000 / float64(*seeds)
		}
		printGoals(loads, evenStepMS, func(load, policy int) Result { return results[resultKey{i, load, policy}] })
	}
}

// simulateAll runs every combination of profile, load and contender with seeds 1
// to seeds, at most workers simulations at a time, and returns the mean results.
func simulateAll(profiles []workload.Profile, loads []int, seeds, workers, instances int) map[resultKey]Result {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, workers)
	resultsBySeed := map[resultKey][]Result{}
	for i, p := range profiles {
		for l, load := range loads {
			for c := range contenders {
				key := resultKey{i, l, c}
				resultsBySeed[key] = make([]Result, seeds)
				for seed := range seeds {
					slots <- struct{}{}
					group.Go(func() {
						s := scenario{p, defaultModel, uint64(seed + 1), instances}
						rate := estimateCapacity(p, defaultModel, s.seed).rate * float64(p.Targets) * float64(load) / 100
						r := simulate(p, defaultModel, s.seed, rate, contenders[c].newPolicy(s))
						mu.Lock()
						resultsBySeed[key][seed] = r
						mu.Unlock()
						<-slots
					})
				}
			}
		}
	}
	group.Wait()
	means := make(map[resultKey]Result, len(resultsBySeed))
	for k, rs := range resultsBySeed {
		means[k] = meanResult(rs)
	}
	return means
}

func meanResult(rs []Result) Result {
	var m Result
	n := float64(len(rs))
	for _, r := range rs {
		m.TBT99 += r.TBT99 / n
		m.Preemptions += r.Preemptions / n
		m.Stall += r.Stall / n
		m.Goodput += r.Goodput / n
		m.Throughput += r.Throughput / n
		m.Idle += r.Idle / n
		m.Unused += r.Unused / n
		m.Dropped += r.Dropped / n
		m.FirstP95 += r.FirstP95 / n
		m.ShortP95 += r.ShortP95 / n
		m.ColdExcess += r.ColdExcess / n
	}
	return m
}

func printLoad(load int, result func(policy int) Result) {
	fmt.Printf("\n| load %d%% | p99 TBT ms | preemptions /1k tok | stall ms /1k tok | goodput tok/s | throughput tok/s | idle %% | unused %% | dropped %% | first token p95 s | short p95 s | cold excess |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n", load)
	for i, c := range contenders {
		r := result(i)
		fmt.Printf("| %s | %.1f | %.3f | %.1f | %.0f | %.0f | %.2f | %.1f | %.1f | %.2f | %.2f | %.1f |\n",
			c.name, r.TBT99, r.Preemptions, r.Stall, r.Goodput, r.Throughput, r.Idle*100, r.Unused*100, r.Dropped*100, r.FirstP95, r.ShortP95, r.ColdExcess)
	}
}

// printGoals compares the system, the first contender, with the best baseline of
// each metric. evenStepMS is the step time in ms at 85% load if the load were
// spread evenly over targets and time; no policy that serves the load can have a
// p99 time between tokens (TBT) below it.
func printGoals(loads []int, evenStepMS float64, result func(load, policy int) Result) {
	loadIndex := func(percent int) int {
		for i, l := range loads {
			if l == percent {
				return i
			}
		}
		panic("load is not measured")
	}
	bestBaseline := func(metric func(Result) float64) float64 {
		lowest := metric(result(loadIndex(85), 1))
		for p := 2; p < len(contenders); p++ {
			lowest = min(lowest, metric(result(loadIndex(85), p)))
		}
		return lowest
	}
	peakGoodput := 0.0
	for l := range loads {
		for p := range contenders {
			peakGoodput = max(peakGoodput, result(l, p).Goodput)
		}
	}
	system := result(loadIndex(85), 0)
	systemOverload := result(loadIndex(130), 0)
	ratio := func(a, b float64) float64 { return a / max(b, 1e-9) }
	fmt.Printf("\n| goal | ratio | bound |\n|---|---|---|\n")
	fmt.Printf("| p99 TBT at 85%%, of the best baseline | %.2f | 0.60 |\n", ratio(system.TBT99, bestBaseline(func(r Result) float64 { return r.TBT99 })))
	fmt.Printf("| step time of an even 85%% load, of the best baseline's p99 TBT | %.2f | |\n", ratio(evenStepMS, bestBaseline(func(r Result) float64 { return r.TBT99 })))
	fmt.Printf("| preemptions at 85%%, of the best baseline | %.2f | 0.20 |\n", ratio(system.Preemptions, bestBaseline(func(r Result) float64 { return r.Preemptions })))
	fmt.Printf("| stall time at 85%%, of the best baseline | %.2f | 0.50 |\n", ratio(system.Stall, bestBaseline(func(r Result) float64 { return r.Stall })))
	fmt.Printf("| goodput at 130%%, of the best seen at any load | %.2f | 0.95 |\n", ratio(systemOverload.Goodput, peakGoodput))
	fmt.Printf("| idle while work waits, at 85%% and 130%% | %.2f%% / %.2f%% | 2%% |\n", system.Idle*100, systemOverload.Idle*100)
}
