package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// defaultCandidates is how many fitting workers are scored for one task.
	defaultCandidates = 16
	// defaultSearchBudget bounds the index nodes visited by one search. It covers the whole index of a cell of 133
	// workers (265 nodes), where searches are therefore exact.
	defaultSearchBudget = 1024
	// defaultBackfillDepth is how many tasks behind one that does not fit are tried in each queue and Plan.
	defaultBackfillDepth = 16
	// defaultReserveAfter is how long the first task of a queue may fail to fit before a worker is reserved for it.
	defaultReserveAfter = 2 * time.Second
	// defaultClaimTimeout is how long an urgent task waits for its evicted tasks before it is tried elsewhere. A
	// worker that does not answer must not block it.
	defaultClaimTimeout = 5 * time.Second
	// defaultMaxVictims bounds the tasks evicted for one urgent task.
	defaultMaxVictims = 8
	// defaultFillerPatience is about the run time of a filler, after which other fillers have freed capacity
	// elsewhere.
	defaultFillerPatience = 3 * time.Second
	// defaultMinThrottle is the smallest fraction of its processors that a throttled task keeps.
	defaultMinThrottle = 0.5

	// rackWeight exceeds the weights of the other scores together, because a task away from its data takes one and a
	// half times as long.
	rackWeight = 4
	// fillerRetryDelay is how long fillers of one signature wait after no worker was found for one of them: a small
	// part of the run time of a filler. maxFillerMisses bounds the signatures remembered.
	fillerRetryDelay = 50 * time.Millisecond
	maxFillerMisses  = 4096
	// tailPenaltyWeight makes a filler avoid workers where it is expected to bring a serving task near its target.
	tailPenaltyWeight = 4
	// noServingPenalty keeps fillers off workers without serving tasks, unless they disturb every serving image. It
	// exceeds the largest possible difference in the score for unused processors.
	noServingPenalty = 3
	// servingWeight equals the weights of the other scores together, because the harm that fillers do to a serving
	// task depends on the images of both.
	servingWeight = 3.5

	// maxWastedVisits bounds the index nodes visited by unsuccessful searches of one Plan, and maxPlanWork the
	// total work of one Plan, so that a Plan of a full cell ends within 1 ms. Looking at a queued task counts as 1;
	// startWork and displaceWork are the additional costs of a start and of an attempt to displace other tasks,
	// in the same unit. The bounds are checked between queues, so that each Plan makes progress with at least
	// one queue. maxBackfillTasks bounds the tasks tried behind those that do not fit; it is divided over the
	// queues.
	maxWastedVisits  = 2048
	maxPlanWork      = 192
	startWork        = 5
	displaceWork     = 6
	maxBackfillTasks = 1024
	// maxBlockedQueues bounds the queues that one Plan blocks because none of their tasks fits. The next Plan goes
	// on with the other queues; after at most maxCyclePlans Plans all queues are considered again in order.
	maxBlockedQueues = 32
	maxCyclePlans    = 128
	// maxUnblockedUrgent bounds the urgent queues that a Plan reconsiders within a cycle because resources for them
	// became free. It is below maxBlockedQueues, so that each Plan makes progress with the other queues too.
	// maxFreedNodes is how many workers with freed resources are remembered for that; beyond it, every urgent queue
	// may be reconsidered.
	maxUnblockedUrgent = maxBlockedQueues / 2
	maxFreedNodes      = 16
	// maxFailedDisplacements bounds the urgent tasks of one Plan for which displacing others fails.
	// displaceRetryDelay is the pause before the next attempt for the same task, a thirtieth of the 1.5 s within
	// which an urgent task is to start.
	maxFailedDisplacements = 4
	displaceRetryDelay     = 50 * time.Millisecond
	// maxAmount bounds every amount of a resource, so that sums cannot overflow.
	maxAmount = int64(1) << 40
)

// Options configures a Cell. Zero values select the defaults.
type Options struct {
	// Cell and Cells determine the cell's share of a fleet limit: limits are divided equally over Cells, and the
	// remainder goes to the cells with the lowest numbers. Cells of 0 means 1.
	Cell  ident.CellID
	Cells int
	// ShareShift divides the cell's share by 2^ShareShift, as in ownership.Grant.
	ShareShift uint8
	// Candidates is how many fitting workers are scored for one task.
	Candidates int
	// SearchBudget bounds the index nodes visited by one search.
	SearchBudget int
	// BackfillDepth is how many tasks behind one that does not fit are tried in each queue and Plan.
	BackfillDepth int
	// ReserveAfter is how long the first task of a queue may fail to fit before a worker is reserved for it. Look-ahead
	// reserves after lookAheadAfter unless ReserveAfter is set.
	ReserveAfter   time.Duration
	lookAheadAfter time.Duration
	// ClaimTimeout is how long an urgent task waits for the tasks evicted for it.
	ClaimTimeout time.Duration
	// MaxVictims bounds the tasks evicted for one urgent task.
	MaxVictims int
	// FillerPatience is how long a filler waits for a worker where it is not expected to bring a serving task near
	// its target.
	FillerPatience time.Duration
	// NoLookAhead reserves workers only after ReserveAfter and by declared run times, and keeps what is reserved from
	// all other tasks.
	NoLookAhead bool
	// OffRackSlowdown is how many times as long a task takes away from the rack with its data. If it is above 1, tasks wait for a
	// full rack as long as that costs less than running elsewhere.
	OffRackSlowdown float64
	// MinThrottle is the smallest fraction of its processors that a throttled task keeps; 1 disables throttling.
	MinThrottle float64
	// Interference estimates the slowdown between classes; nil means a new Estimator.
	Interference Interference
	// Tails estimates how much filler images lengthen the tail latency of serving images, which take the
	// place of classes; nil means a new Estimator.
	Tails Interference
}

func (o Options) withDefaults() Options {
	o.Cells = max(o.Cells, 1)
	setDefault(&o.Candidates, defaultCandidates)
	setDefault(&o.SearchBudget, defaultSearchBudget)
	setDefault(&o.BackfillDepth, defaultBackfillDepth)
	o.lookAheadAfter = o.ReserveAfter
	setDefault(&o.lookAheadAfter, defaultLookAheadAfter)
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
