// Command decisions measures the admission and routing decisions against the
// baselines of bench/baseline, with a simple engine model and simulated time.
// The same seeded arrivals and output lengths go to each policy. It prints
// means over the seeds and ratios to the best baseline.
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

// contender is a policy under measurement.
type contender struct {
	name string
	make func(r run) policy
}

// run is one simulation's environment.
type run struct {
	profile   workload.Profile
	model     EngineModel
	seed      uint64
	instances int // entry instances that run a baseline side by side
}

func (r run) baseline(make func() baseline.Policy) policy {
	return newSpread(r.instances, r.profile.Targets, r.seed, make)
}

var contenders = []contender{
	{"endivetrack", func(r run) policy { return newOurs(r.profile) }},
	{"round robin", func(r run) policy {
		return r.baseline(func() baseline.Policy { return &baseline.RoundRobin{} })
	}},
	{"least outstanding", func(r run) policy {
		return r.baseline(func() baseline.Policy { return baseline.LeastOutstanding{} })
	}},
	{"two choices", func(r run) policy {
		return r.baseline(func() baseline.Policy { return baseline.TwoChoices{} })
	}},
	{"fixed concurrency", func(r run) policy {
		limit := max(1, capacityOf(r.profile, r.model, r.seed).concurrency/r.instances)
		return r.baseline(func() baseline.Policy { return baseline.FixedConcurrency{Limit: limit} })
	}},
}

// capacity is what one engine of the model can do with requests of a profile.
type capacity struct {
	concurrency int     // mean requests that fill its memory or reach the target gap
	rate        float64 // requests per second at this concurrency
	step        func(load float64) time.Duration
}

// capacityOf computes the capacity from mean values: the mean request of the
// seed, seen at a random moment of its run, and the mean step.
func capacityOf(p workload.Profile, m EngineModel, seed uint64) capacity {
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
	// Per step n/output requests finish, and as many join with their prompts.
	step := func(n float64) float64 {
		return m.Base.Seconds() + n*(m.PerSequence.Seconds()+resident*m.PerToken.Seconds()+prompt/output*m.PerPrefill.Seconds())
	}
	var c capacity
	for n := 1; n <= m.MaxRunning && float64(n)*resident <= float64(m.Memory) && step(float64(n)) <= targetGap.Seconds(); n++ {
		c.concurrency, c.rate = n, float64(n)/step(float64(n))/output
	}
	perSequence := step(1) - step(0)
	c.step = func(load float64) time.Duration {
		// n sequences at one token per step make load*rate*output tokens/s.
		tokens := load * c.rate * output
		n := tokens * step(0) / (1 - tokens*perSequence)
		return time.Duration(step(n) * float64(time.Second))
	}
	return c
}

type runKey struct {
	profile, load, policy int
}

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/3), "simulations run at the same time")
	instances := flag.Int("instances", 1, "entry instances that run the baselines side by side; 1 gives them exact counts")
	quick := flag.Bool("quick", false, "only the loads that the goals name")
	flag.Parse()
	profiles := workload.Profiles()
	loads := []int{50, 70, 85, 100, 130} // percent of capacity
	if *quick {
		loads = []int{85, 130}
	}
	results := measure(profiles, loads, *seeds, *workers, *instances)
	for i, p := range profiles {
		fmt.Printf("\n%s: %d targets, %d seeds, baselines at %d instances\n", p.Name, p.Targets, *seeds, *instances)
		for l, load := range loads {
			printLoad(load, func(policy int) Result { return results[runKey{i, l, policy}] })
		}
		var floor float64
		for seed := range *seeds {
			floor += capacityOf(p, defaultModel, uint64(seed+1)).step(0.85).Seconds() * 1000 / float64(*seeds)
		}
		printGoals(loads, floor, func(load, policy int) Result { return results[runKey{i, load, policy}] })
	}
}

// measure returns the mean result over the seeds of every combination.
func measure(profiles []workload.Profile, loads []int, seeds, workers, instances int) map[runKey]Result {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, workers)
	all := map[runKey][]Result{}
	for i, p := range profiles {
		for l, load := range loads {
			for c := range contenders {
				key := runKey{i, l, c}
				all[key] = make([]Result, seeds)
				for seed := range seeds {
					slots <- struct{}{}
					group.Go(func() {
						e := run{p, defaultModel, uint64(seed + 1), instances}
						rate := capacityOf(p, defaultModel, e.seed).rate * float64(p.Targets) * float64(load) / 100
						r := simulate(p, defaultModel, e.seed, rate, contenders[c].make(e))
						mu.Lock()
						all[key][seed] = r
						mu.Unlock()
						<-slots
					})
				}
			}
		}
	}
	group.Wait()
	out := make(map[runKey]Result, len(all))
	for k, rs := range all {
		out[k] = mean(rs)
	}
	return out
}

func mean(rs []Result) Result {
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

// printGoals compares the first contender with the best baseline per measure.
// floor is the step time in ms at 85% load if it were spread evenly over
// targets and time; no policy that serves the load can have a p99 below it.
func printGoals(loads []int, floor float64, result func(load, policy int) Result) {
	at := func(percent int) int {
		for i, l := range loads {
			if l == percent {
				return i
			}
		}
		panic("load is not measured")
	}
	best := func(measure func(Result) float64) float64 {
		v := measure(result(at(85), 1))
		for p := 2; p < len(contenders); p++ {
			v = min(v, measure(result(at(85), p)))
		}
		return v
	}
	peak := 0.0
	for l := range loads {
		for p := range contenders {
			peak = max(peak, result(l, p).Goodput)
		}
	}
	ours := result(at(85), 0)
	over := result(at(130), 0)
	ratio := func(a, b float64) float64 { return a / max(b, 1e-9) }
	fmt.Printf("\n| goal | ratio | bound |\n|---|---|---|\n")
	fmt.Printf("| p99 TBT at 85%%, of the best baseline | %.2f | 0.60 |\n", ratio(ours.TBT99, best(func(r Result) float64 { return r.TBT99 })))
	fmt.Printf("| step time of an even 85%% load, of the best baseline's p99 TBT | %.2f | |\n", ratio(floor, best(func(r Result) float64 { return r.TBT99 })))
	fmt.Printf("| preemptions at 85%%, of the best baseline | %.2f | 0.20 |\n", ratio(ours.Preemptions, best(func(r Result) float64 { return r.Preemptions })))
	fmt.Printf("| stall time at 85%%, of the best baseline | %.2f | 0.50 |\n", ratio(ours.Stall, best(func(r Result) float64 { return r.Stall })))
	fmt.Printf("| goodput at 130%%, of the best seen at any load | %.2f | 0.95 |\n", ratio(over.Goodput, peak))
	fmt.Printf("| idle while work waits, at 85%% and 130%% | %.2f%% / %.2f%% | 2%% |\n", ours.Idle*100, over.Idle*100)
}
