package placement

import (
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// ClassLoad is what the tasks of one class have booked on a worker.
type ClassLoad struct {
	// Class is the number of the class in the cell.
	Class    int
	Urgent   bool
	MilliCPU int64
	Tasks    int
}

// NodeInfo is the view of a worker that filters and scores get.
type NodeInfo interface {
	Worker() *Worker
	// Available returns the resources that can be booked now.
	Available() resource.Vector
	// Reserved returns the resources that reservations of look-ahead hold.
	Reserved() resource.Vector
	// Tasks returns the number of tasks that are booked on or have a claim on the worker.
	Tasks() int
	// FiniteTasks returns how many of them are not lasting.
	FiniteTasks() int
	// Rack returns the number of the rack in the cell.
	Rack() int
	// Loads returns the booked processors by class.
	Loads() []ClassLoad
	// GroupTasks returns the number of booked or claiming tasks of the same job and group as a task.
	GroupTasks(id ident.TaskID) int
	// Serving and Fillers return the number of booked or claiming tasks of these kinds.
	Serving() int
	Fillers() int
	// ServingOf returns the number of booked or claiming serving tasks of an image.
	ServingOf(image string) int
	// ServingMilliCPU returns the declared processors of the serving tasks, in thousandths.
	ServingMilliCPU() int64
	// FillerDemandMilliCPU returns the processors that the fillers would use if available, in thousandths.
	FillerDemandMilliCPU() int64
}

// Snapshot is the view of the cell that filters and scores get. It is valid during one decision.
type Snapshot interface {
	// Racks returns the number of racks with workers.
	Racks() int
	// JobTasks returns the number of booked tasks of a job in the cell, JobTasksOnRack that on one rack.
	JobTasks(job ident.JobID) int
	JobTasksOnRack(job ident.JobID, rack int) int
}

// Request describes a task for which a worker is selected.
type Request struct {
	Task   ident.TaskID
	Class  int
	Urgent bool
	// Booking is what the task will have booked.
	Booking resource.Vector
	Avoid   []ident.WorkerID
	// HasWaited is set once the task has been queued for Options.ReserveAfter.
	HasWaited bool
	Lasting   bool
	// LastResort is set for a restart for which only quarantined workers are left.
	LastResort bool
	// Probe is set for an urgent or lasting task that has waited for a sound worker.
	Probe       bool
	Pool        string
	Constraints Constraints
	// DemandMilliCPU is the processors that a filler would use if available, in thousandths.
	DemandMilliCPU int64
	// SharesProcessors is set for a filler that may start although the other fillers leave it too few processors.
	SharesProcessors bool
	// image is the number of the task's image in the cell.
	image int
	// MaxTail is the largest tail of a serving task that a filler may be expected to cause, relative to the target.
	MaxTail float64
	// disturbance is how much a filler disturbs the serving image that suffers most from it, from 0 to 1.
	disturbance float64
}

// Filter rules out workers.
type Filter interface {
	// Admits reports whether the worker may take the task.
	Admits(s Snapshot, r *Request, n NodeInfo) bool
}

// Score ranks the workers that passed the filters.
type Score interface {
	// Score returns a value from 0 to 1; higher is better.
	Score(s Snapshot, r *Request, n NodeInfo) float64
}

// weightedScore is a score with its weight in the sum.
type weightedScore struct {
	Score
	weight float64
}
