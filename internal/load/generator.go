// Random jobs and the intervals between them.

package load

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavendercleat/lavendercleat/schema"
)

// request is a job that the driver will send.
type request struct {
	// class is the index of the job's class in the profile.
	class   int
	job     schema.Job
	oneCall bool
	// longest is the longest run time of the tasks, and total the sum of their run times.
	longest time.Duration
	total   time.Duration
	// cancelAfter is the time after which the caller cancels the job. With 0 it never cancels.
	cancelAfter time.Duration
}

// generator generates random jobs and the intervals between them. Equal seeds give equal loads.
type generator struct {
	profile     schema.LoadProfile
	rng         *rand.Rand
	totalWeight float64
}

// newGenerator returns a generator for a profile. The seed determines all jobs and intervals.
func newGenerator(p schema.LoadProfile, seed uint64) *generator {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, seed))}
	for _, c := range p.Classes {
		g.totalWeight += c.Weight
	}
	return g
}

// nextInterval returns the time until the next job. The intervals are exponentially distributed, because
// callers send jobs independently of each other.
func (g *generator) nextInterval(perSecond float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// nextRequest returns the next job. It picks a class by weight and draws the run times.
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

// runPayload returns a payload that sets the run time of a task on a stand-in backend server.
func runPayload(ms int64) json.RawMessage {
	return json.RawMessage(`{"run_ms":` + strconv.FormatInt(ms, 10) + `}`)
}

// pickClass returns the index of a class, chosen at random by weight.
func (g *generator) pickClass() int {
	x := g.rng.Float64() * g.totalWeight
	for i, c := range g.profile.Classes {
		if x -= c.Weight; x < 0 {
			return i
		}
	}
	return len(g.profile.Classes) - 1
}

// drawRunTime draws the run time of a task in milliseconds.
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

// meanSamples is the number of samples from which the means are computed.
const meanSamples = 20_000

// meanJobRunTime returns the mean over jobs of the summed run times of a job's tasks.
func meanJobRunTime(p schema.LoadProfile) time.Duration {
	g := newGenerator(p, 1)
	var sum time.Duration
	for range meanSamples {
		sum += g.nextRequest().total
	}
	return sum / meanSamples
}

// meanTaskRunTime returns the mean run time of one task of a class.
func meanTaskRunTime(c schema.LoadClass) time.Duration {
	g := newGenerator(schema.LoadProfile{Classes: []schema.LoadClass{c}}, 1)
	var sum int64
	for range meanSamples {
		sum += g.drawRunTime(c.RunTime)
	}
	return time.Duration(sum) * time.Millisecond / meanSamples
}
