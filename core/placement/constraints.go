package placement

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// Constraints restricts the workers on which a task may run and describes how it shares a worker with other tasks.
// The zero value allows every worker.
type Constraints struct {
	// Label is a label that the worker must have; empty means none.
	Label string
	// Rack is the rack that holds the data of the task; empty means no preference.
	Rack ident.Rack
	// MaxPerWorker is how many tasks of the group may run on one worker; 0 means any number.
	MaxPerWorker int
	// Image is the program that the task runs. Tasks of the same image are assumed to cause and suffer the same
	// interference.
	Image string
	// Serving tasks answer user requests. Their tail latency suffers from fillers on the same worker.
	Serving bool
	// Filler tasks run on processors that other tasks leave unused; no processors are booked for them.
	Filler bool
}
