package placement

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// Constraints says where a task may run, and beside what. The zero value allows every worker.
type Constraints struct {
	// Label is a label that the worker must have; empty if none is needed.
	Label string
	// Rack is where the data of the task is; empty if anywhere.
	Rack ident.Rack
	// MaxPerWorker is how many tasks of the group may run on one worker; 0 if any number.
	MaxPerWorker int
	// Image names what the task runs. Tasks of one image disturb others, and are disturbed, alike.
	Image string
	// Serving tasks answer requests of their own users, and their latency suffers from fillers beside them.
	Serving bool
	// Filler tasks use the processors that others leave: none are booked for them.
	Filler bool
}
