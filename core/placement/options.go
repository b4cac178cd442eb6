package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// defaultCandidates is how many fitting workers are scored for one task.
	defaultCandidates = 16
	// defaultSearchBudget bounds the index nodes visited by one search. It covers the whole index of a cell of 133
	// workers (265 nodes), so that the search is exact there.
	defaultSearchBudget = 1024
	// defaultBackfillDepth is how many tasks behind a blocked one are tried in each queue and Plan.
	defaultBackfillDepth = 16
	// defaultReserveAfter is how long the first task of a queue may fail to fit before a worker is reserved for it.
	defaultReserveAfter = 2 * time.Second
	// defaultClaimTimeout is how long an urgent task waits for its evicted tasks before it is tried elsewhere. A worker
	// that does not answer must not hold it.
	defaultClaimTimeout = 5 * time.Second
	// defaultMaxVictims bounds the tasks evicted for one urgent task.
	defaultMaxVictims = 8
	// defaultFillerPatience is about the run time of a filler, after which others have made room elsewhere.
	defaultFillerPatience = 3 * time.Second
	// defaultMinThrottle is the smallest fraction of its processors that a throttled task keeps.
	defaultMinThrottle = 0.5

	// rackWeight is more than the other scores together, because a task far from its data runs half as long again.
	rackWeight = 4
	// missPause is how long a group of fillers waits after no worker was found for it: a small part of the run time of a
	// filler. mostMissed bounds the groups that are remembered.
	missPause  = 50 * time.Millisecond
	mostMissed = 4096
	// tailWeight makes a filler avoid workers where it is expected to bring a serving task near its target.
	tailWeight = 4
	// quietWeight keeps fillers away from workers without serving tasks, unless they disturb wherever there are some. It is
	// more than all that the processors left differ by.
	quietWeight = 3
	// servingWeight is as much as the other scores together: what fillers cost a serving task depends on what both run.
	servingWeight = 3.5

	// maxVain bounds the index nodes visited in vain by one Plan, and maxWork the sum of what it does, so that a Plan of
	// a full cell ends within 1 ms. A queued task that is looked at counts as 1, a start and a try to displace others by
	// what they cost in addition, from profiles. The bounds are checked between queues, so that each Plan makes progress
	// with one queue at least. maxBackfill bounds the tasks behind blocked ones; it is divided over the queues.
	maxVain      = 2048
	maxWork      = 192
	startWork    = 5
	displaceWork = 6
	maxBackfill  = 1024
	// maxBlocked bounds the queues that one Plan leaves out because nothing in them fits. If there are more, the next
	// Plan goes on with the others; after maxCycle Plans at the latest all queues are looked at again in their order.
	maxBlocked = 32
	maxCycle   = 128
	// maxRevisited bounds the urgent queues that a Plan looks at again within a cycle, because room for them has become
	// free. It is below maxBlocked, so that each Plan goes on with the other queues too. maxFreed is how many workers
	// with room are remembered for that; above it, every urgent queue may be looked at again.
	maxRevisited = maxBlocked / 2
	maxFreed     = 16
	// maxStuckTries bounds the urgent tasks of one Plan for which no room can be made, and displaceRetry is the pause
	// before the next try for the same task, a thirtieth of the 1.5 s in which it is to start.
	maxStuckTries = 4
	displaceRetry = 50 * time.Millisecond
	// maxAmount bounds every amount of a resource, so that sums cannot overflow.
	maxAmount = int64(1) << 40
)

// Options configures a Cell. Zero values stand for the defaults.
type Options struct {
	// Cell and Cells give this cell's part of a limit of the whole fleet: limits are divided equally, and the
	// remainder goes to the cells with the lowest numbers. Cells of 0 means 1.
	Cell  ident.CellID
	Cells int
	// ShareShift divides this cell's part by 2^ShareShift, as in ownership.Grant.
	ShareShift uint8
	// Candidates is how many fitting workers are scored for one task.
	Candidates int
	// SearchBudget bounds the index nodes visited by one search.
	SearchBudget int
	// BackfillDepth is how many tasks behind a blocked one are tried in each queue and Plan.
	BackfillDepth int
	// ReserveAfter is how long the first task of a queue may fail to fit before a worker is reserved for it.
	ReserveAfter time.Duration
	// ClaimTimeout is how long an urgent task waits for the tasks evicted for it.
	ClaimTimeout time.Duration
	// MaxVictims bounds the tasks evicted for one urgent task.
	MaxVictims int
	// FillerPatience is how long a filler waits for a worker where it disturbs no serving task.
	FillerPatience time.Duration
	// MinThrottle is the smallest fraction of its processors that a throttled task keeps; 1 turns throttling off.
	MinThrottle float64
	// Interference estimates the slowdown between classes; nil means a new Estimator.
	Interference Interference
	// Tails estimates how much fillers lengthen the tails of serving tasks, between images; nil means a new Estimator.
	Tails Interference
}

func (o Options) withDefaults() Options {
	o.Cells = max(o.Cells, 1)
	setDefault(&o.Candidates, defaultCandidates)
	setDefault(&o.SearchBudget, defaultSearchBudget)
	setDefault(&o.BackfillDepth, defaultBackfillDepth)
	setDefault(&o.ReserveAfter, defaultReserveAfter)
	setDefault(&o.ClaimTimeout, defaultClaimTimeout)
	setDefault(&o.MaxVictims, defaultMaxVictims)
	setDefault(&o.FillerPatience, defaultFillerPatience)
	setDefault(&o.MinThrottle, defaultMinThrottle)
	if o.Interference == nil {
		o.Interference = NewEstimator()
	}
	if o.Tails == nil {
		o.Tails = NewEstimatorWithPrior(priorLengthening, priorTailVariance)
	}
	return o
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
