package load

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// request is one job to be sent.
type request struct {
	// class is the index of the job's class in the profile.
	class   int
	job     schema.Job
	oneCall bool
	// longest and total are the longest and the summed run time of the tasks.
	longest time.Duration
	total   time.Duration
	// cancelAfter is the time after which the caller cancels; 0 means never.
	cancelAfter time.Duration
}

// generator draws jobs and the gaps between them. Equal seeds give equal loads.
type generator struct {
	profile     schema.LoadProfile
	rng         *rand.Rand
	totalWeight float64
}

func newGenerator(p schema.LoadProfile, seed uint64) *generator {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, seed))}
	for _, c := range p.Classes {
		g.totalWeight += c.Weight
	}
	return g
}

// gap returns the time until the next job: callers come independently of each other.
func (g *generator) nextInterval(perSecond float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// next returns the next job.
func (g *generator) nextRequest() request {
	i := g.pickClass()
	c := g.profile.Classes[i]
	r := request{class: i, oneCall: c.OneCall}
	r.job = schema.Job{Kind: c.Kind, Urgency: c.Urgency, DeadlineMs: c.DeadlineMs}
	tasks := int(c.MinTasks) + g.rng.IntN(int(c.MaxTasks-c.MinTasks)+1)
	r.job.Tasks = make([]schema.Task, tasks)
	for t := range r.job.Tasks {
		ms := g.drawRunTime(c.RunTime)
		r.job.Tasks[t].Payload = runPayload(ms)
		run := time.Duration(ms) * time.Millisecond
		r.longest = max(r.longest, run)
		r.total += run
	}
	if g.rng.Float64() < c.CancelShare {
		r.cancelAfter = max(time.Duration(c.CancelAfterMs)*time.Millisecond, time.Millisecond)
	}
	return r
}

// runPayload tells a stand-in backend server how long to run.
func runPayload(ms int64) json.RawMessage {
	return json.RawMessage(`{"run_ms":` + strconv.FormatInt(ms, 10) + `}`)
}

// pick chooses a class by weight.
func (g *generator) pickClass() int {
	x := g.rng.Float64() * g.totalWeight
	for i, c := range g.profile.Classes {
		if x -= c.Weight; x < 0 {
			return i
		}
	}
	return len(g.profile.Classes) - 1
}

// runTime draws the run time of a task in milliseconds.
func (g *generator) drawRunTime(r schema.LoadRunTime) int64 {
	if r.SlowShare > 0 && g.rng.Float64() < r.SlowShare {
		return r.SlowMinMs + g.rng.Int64N(r.SlowMaxMs-r.SlowMinMs+1)
	}
	switch r.Distribution {
	case distUniform:
		return r.MinMs + g.rng.Int64N(r.MaxMs-r.MinMs+1)
	case distLognormal:
		ms := float64(r.MedianMs) * math.Exp(g.rng.NormFloat64()*r.Sigma)
		return min(max(int64(ms), r.MinMs), r.MaxMs)
	}
	return r.MedianMs
}

// meanSamples is the number of jobs drawn to find a mean.
const meanSamples = 20_000

// meanWork returns the mean of a job's summed run times.
func meanJobRunTime(p schema.LoadProfile) time.Duration {
	g := newGenerator(p, 1)
	var sum time.Duration
	for range meanSamples {
		sum += g.nextRequest().total
	}
	return sum / meanSamples
}

// meanRun returns the mean run time of one task of a class.
func meanTaskRunTime(c schema.LoadClass) time.Duration {
	g := newGenerator(schema.LoadProfile{Classes: []schema.LoadClass{c}}, 1)
	var sum int64
	for range meanSamples {
		sum += g.drawRunTime(c.RunTime)
	}
	return time.Duration(sum) * time.Millisecond / meanSamples
}
