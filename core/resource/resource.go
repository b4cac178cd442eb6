// Package resource defines the amounts of resources that tasks use and workers provide.
package resource

import "fmt"

// Vector is an amount of each resource dimension.
type Vector struct {
	// MilliCPU is in thousandths of a processor.
	MilliCPU int64
	// MemoryMB is in units of 2^20 bytes.
	MemoryMB int64
	// Accelerators counts whole accelerators.
	Accelerators int64
}

// Dimension names one component of a Vector.
type Dimension string

// The dimensions of a Vector.
const (
	Processors   Dimension = "processors"
	Memory       Dimension = "memory"
	Accelerators Dimension = "accelerators"
)

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.MilliCPU + o.MilliCPU, v.MemoryMB + o.MemoryMB, v.Accelerators + o.Accelerators}
}

// Sub returns v - o.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.MilliCPU - o.MilliCPU, v.MemoryMB - o.MemoryMB, v.Accelerators - o.Accelerators}
}

// Scale returns v multiplied by n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCPU * n, v.MemoryMB * n, v.Accelerators * n}
}

// Max returns the larger amount in each dimension.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.MilliCPU, o.MilliCPU), max(v.MemoryMB, o.MemoryMB), max(v.Accelerators, o.Accelerators)}
}

// Fits reports whether v is at most capacity in every dimension.
func (v Vector) Fits(capacity Vector) bool {
	return v.MilliCPU <= capacity.MilliCPU && v.MemoryMB <= capacity.MemoryMB && v.Accelerators <= capacity.Accelerators
}

// ExceededDimension returns the first dimension in which v is larger than capacity; "" if v fits.
func (v Vector) ExceededDimension(capacity Vector) Dimension {
	switch {
	case v.MilliCPU > capacity.MilliCPU:
		return Processors
	case v.MemoryMB > capacity.MemoryMB:
		return Memory
	case v.Accelerators > capacity.Accelerators:
		return Accelerators
	default:
		return ""
	}
}

// NonNegative reports whether no dimension is below 0.
func (v Vector) NonNegative() bool {
	return v.MilliCPU >= 0 && v.MemoryMB >= 0 && v.Accelerators >= 0
}

// IsZero reports whether every dimension is 0.
func (v Vector) IsZero() bool {
	return v == Vector{}
}

// DominantShare returns the largest of the fractions that v takes of the dimensions of total. A dimension that is 0 in
// total does not count.
func (v Vector) DominantShare(total Vector) float64 {
	share := 0.0
	for _, f := range [...][2]int64{
		{v.MilliCPU, total.MilliCPU},
		{v.MemoryMB, total.MemoryMB},
		{v.Accelerators, total.Accelerators},
	} {
		if f[1] > 0 {
			share = max(share, float64(f[0])/float64(f[1]))
		}
	}
	return share
}

// String returns the vector in the units of the operators' table.
func (v Vector) String() string {
	return fmt.Sprintf("%g processors, %d MB, %d accelerators", float64(v.MilliCPU)/1000, v.MemoryMB, v.Accelerators)
}
