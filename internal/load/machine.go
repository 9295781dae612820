// Processor load of the machine during a run.

package load

import (
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"github.com/lavendercleat/lavendercleat/schema"
)

// saturatedAbove is the busy share of the machine from which on the response times include
// considerable waiting for a processor.
const saturatedAbove = 0.7

// usage is the processor time used up to a point in time: by the machine in seconds, and by this process.
type usage struct {
	at      time.Time
	busy    float64
	total   float64
	process time.Duration
}

// readUsage reads the processor time of the machine and of this process. Values that can't be read
// remain 0, so the machine appears idle.
func readUsage() usage {
	u := usage{at: time.Now()}
	if fs, err := procfs.NewDefaultFS(); err == nil {
		if s, err := fs.Stat(); err == nil {
			c := s.CPUTotal
			idle := c.Idle + c.Iowait
			u.busy = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
			u.total = u.busy + idle
		}
	}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.process = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}

// since returns the processor load between before and u.
func (u usage) since(before usage) schema.LoadMachine {
	m := schema.LoadMachine{ProcessCores: (u.process - before.process).Seconds() / u.at.Sub(before.at).Seconds()}
	if total := u.total - before.total; total > 0 {
		m.Busy = (u.busy - before.busy) / total
	}
	m.Saturated = m.Busy > saturatedAbove
	return m
}
