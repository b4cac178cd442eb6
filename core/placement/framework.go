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

// NodeInfo is what filters and scores see of a worker.
type NodeInfo interface {
	Worker() *Worker
	// Available is what may be booked now.
	Available() resource.Vector
	// Tasks counts the tasks that are booked or wait for the worker.
	Tasks() int
	// Ending counts those of them that do not last.
	Ending() int
	// Rack is the number of the rack in the cell.
	Rack() int
	// Loads lists the booked processors by class.
	Loads() []ClassLoad
	// GroupTasks counts the tasks of the group of a task that are booked or wait for the worker.
	GroupTasks(id ident.TaskID) int
	// Serving and Fillers count the tasks of these kinds that are booked or wait for the worker.
	Serving() int
	Fillers() int
	// ServingOf counts the serving tasks of an image.
	ServingOf(image string) int
	// ServingCPU is what the serving tasks have booked, in thousandths of a processor.
	ServingCPU() int64
	// FillerCPU is what the fillers would use if they could, in thousandths of a processor.
	FillerCPU() int64
}

// Snapshot is what filters and scores see of the cell. It is valid during one decision.
type Snapshot interface {
	// Racks is the number of racks with workers.
	Racks() int
	// JobTasks counts the tasks of a job that are booked in the cell, and JobTasksOnRack those on one rack.
	JobTasks(job ident.JobID) int
	JobTasksOnRack(job ident.JobID, rack int) int
}

// Request is a task for which a worker is sought.
type Request struct {
	Task   ident.TaskID
	Class  int
	Urgent bool
	// Booking is what the task will have booked.
	Booking resource.Vector
	Avoid   []ident.WorkerID
	Lasting bool
	// LastResort is set if only workers in quarantine are left for a restart.
	LastResort  bool
	Pool        string
	Constraints Constraints
	// Wish is what a filler would use if it could, in thousandths of a processor.
	Wish int64
	// image is the number of the task's image in the cell.
	image int
	// MostTail is how long a tail of a serving task a filler may be expected to cause, as a part of the target.
	MostTail float64
	// noise is how much a filler disturbs the image that it disturbs the most, from 0 to 1.
	noise float64
}

// Filter rules workers out.
type Filter interface {
	// Admits reports whether the worker may take the task.
	Admits(s Snapshot, r *Request, n NodeInfo) bool
}

// Score ranks the workers that passed the filters.
type Score interface {
	// Score returns a value from 0 to 1; higher is better.
	Score(s Snapshot, r *Request, n NodeInfo) float64
}

// weightedScore is a score and its part in the sum.
type weightedScore struct {
	Score
	weight float64
}
