package placement

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// rackSpread counts the booked tasks of each job by rack. It implements Snapshot.
type rackSpread struct {
	racks map[ident.Rack]*rack
	// nextIndex is the number of the next new rack.
	nextIndex int
	jobs      map[ident.JobID][]rackCount
}

// noRack is the rack of a worker that is not described yet.
const noRack = -1

type rack struct {
	index int
	// nodes are the workers of the rack.
	nodes []*node
	// room holds after which times the tasks that wait for the rack are expected to fit there, in ascending order, as of the
	// Plan forecastIn. waiting is how many tasks that Plan has left waiting.
	forecastIn uint64
	room       []time.Duration
	waiting    int
}

type rackCount struct {
	rack, tasks int32
}

func newRackSpread() *rackSpread {
	return &rackSpread{racks: make(map[ident.Rack]*rack), jobs: make(map[ident.JobID][]rackCount)}
}

// Racks implements Snapshot.
func (s *rackSpread) Racks() int { return len(s.racks) }

// JobTasks implements Snapshot.
func (s *rackSpread) JobTasks(job ident.JobID) int {
	n := 0
	for _, c := range s.jobs[job] {
		n += int(c.tasks)
	}
	return n
}

// JobTasksOnRack implements Snapshot.
func (s *rackSpread) JobTasksOnRack(job ident.JobID, rack int) int {
	for _, c := range s.jobs[job] {
		if int(c.rack) == rack {
			return int(c.tasks)
		}
	}
	return 0
}

// addTasks adds n to the tasks of a job on a rack.
func (s *rackSpread) addTasks(job ident.JobID, rack, n int) {
	counts := s.jobs[job]
	i := slices.IndexFunc(counts, func(c rackCount) bool { return int(c.rack) == rack })
	if i < 0 {
		i = len(counts)
		counts = append(counts, rackCount{rack: int32(rack)})
	}
	counts[i].tasks += int32(n)
	if counts[i].tasks == 0 {
		counts = slices.Delete(counts, i, i+1)
	}
	if len(counts) == 0 {
		delete(s.jobs, job)
		return
	}
	s.jobs[job] = counts
}

// addWorker adds a worker to a rack and returns the number of the rack.
func (s *rackSpread) addWorker(name ident.Rack, n *node) int {
	r, ok := s.racks[name]
	if !ok {
		r = &rack{index: s.nextIndex}
		s.nextIndex++
		s.racks[name] = r
	}
	r.nodes = append(r.nodes, n)
	return r.index
}

// removeWorker removes a worker from a rack.
func (s *rackSpread) removeWorker(name ident.Rack, n *node) {
	r := s.racks[name]
	if i := slices.Index(r.nodes, n); i >= 0 {
		r.nodes = slices.Delete(r.nodes, i, i+1)
	}
	if len(r.nodes) == 0 {
		delete(s.racks, name)
	}
}
