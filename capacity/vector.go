// Package capacity represents the resources of workers and the demands of tasks.
package capacity

// Vector is an amount of each resource.
type Vector struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	// MemoryMB is in megabytes.
	MemoryMB int64
	// GPUs is a number of accelerators.
	GPUs int64
}

// Fits reports whether v fits into the free resources.
func (v Vector) Fits(free Vector) bool {
	return v.MilliCPU <= free.MilliCPU && v.MemoryMB <= free.MemoryMB && v.GPUs <= free.GPUs
}

// Plus returns the sum.
func (v Vector) Plus(w Vector) Vector {
	return Vector{v.MilliCPU + w.MilliCPU, v.MemoryMB + w.MemoryMB, v.GPUs + w.GPUs}
}

// Minus returns the difference, which is negative where w is larger.
func (v Vector) Minus(w Vector) Vector {
	return Vector{v.MilliCPU - w.MilliCPU, v.MemoryMB - w.MemoryMB, v.GPUs - w.GPUs}
}

// Max returns the larger of both in each dimension.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.MilliCPU, w.MilliCPU), max(v.MemoryMB, w.MemoryMB), max(v.GPUs, w.GPUs)}
}

// FitCount returns how often v fits into free, but never more than most.
func (v Vector) FitCount(free Vector, most int) int {
	n := int64(most)
	for _, r := range [...][2]int64{{v.MilliCPU, free.MilliCPU}, {v.MemoryMB, free.MemoryMB}, {v.GPUs, free.GPUs}} {
		switch {
		case r[0] > 0:
			n = min(n, r[1]/r[0])
		case r[1] < 0:
			return 0
		}
	}
	return int(max(n, 0))
}
