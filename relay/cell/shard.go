package cell

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// shard is the state of one cell. Admission and routing share one lock, so that starting a request and taking a slot
// of a target is one step, and the slots of a target are never exceeded.
type shard struct {
	cell           ident.CellID
	clock          Clock
	grants         Grants
	slotsPerTarget int
	// lastHostListPoll is when the last poll of the host list began; nil if nothing polls it.
	lastHostListPoll *atomic.Pointer[time.Time]

	mu            sync.Mutex
	admission     *admission.Controller
	targets       *routing.Targets
	listedTargets []routing.Target
	retryBudgets  map[ident.ClassName]*routing.RetryBudget
	grant         ownership.Grant
	grantTime     time.Time
	draining      bool
	// activeRequests counts the calls of Execute in progress, because a request between two attempts is in no queue.
	activeRequests int
	// drained is closed once the cell drains and has no active requests.
	drained  chan struct{}
	timer    Timer
	timerDue time.Time
}

// placement is the target of a ticket, and the target to avoid because an earlier attempt failed there.
type placement struct {
	avoid  ident.TargetID
	target routing.Target
}

func newShard(cell ident.CellID, o Options, lastHostListPoll *atomic.Pointer[time.Time]) *shard {
	return &shard{
		cell:             cell,
		clock:            o.Clock,
		grants:           o.Grants,
		slotsPerTarget:   o.SlotsPerTarget,
		lastHostListPoll: lastHostListPoll,
		admission:        admission.New(o.Cells),
		targets:          routing.NewTargets(rand.New(rand.NewPCG(o.Seed, uint64(cell)))),
		retryBudgets:     make(map[ident.ClassName]*routing.RetryBudget),
		drained:          make(chan struct{}),
	}
}

// update applies a change under the lock, starts what can start, and notifies the decided requests after unlocking.
// change returns the tickets that it refused.
func (s *shard) update(now time.Time, change func() []*admission.Ticket) {
	var current ownership.Grant
	if s.grants != nil {
		// The grant is read before locking, because grants may have locks of their own.
		current = s.grants.Grant(s.cell, now)
	}
	s.mu.Lock()
	var decided []*admission.Ticket
	if s.grants != nil {
		decided = s.setGrant(now, current)
	}
	decided = append(decided, change()...)
	decided = append(decided, s.dispatch(now)...)
	s.mu.Unlock()
	for _, t := range decided {
		t.NotifyDecided()
	}
}

// maxHostListAge is the age of the last poll of the host list above which nothing is started: this host itself was
// paused, and targets may have left meanwhile. A poll begins every second and takes 1 s at most, and a target that is
// leaving must get no request after 3 s. A failed poll counts as well, so that requests continue while the host list
// cannot be read.
const maxHostListAge = 2500 * time.Millisecond

// hostListStale reports whether the last poll of the host list is so old that this host must have been paused.
func (s *shard) hostListStale(now time.Time) bool {
	polled := s.lastHostListPoll.Load()
	return polled != nil && now.Sub(*polled) > maxHostListAge
}

// dispatch starts requests, and sets the timer for the next change that is caused by time alone.
func (s *shard) dispatch(now time.Time) []*admission.Ticket {
	if s.hostListStale(now) {
		// The next poll of the host list dispatches.
		s.closeIfDrained()
		return nil
	}
	wake := s.targets.ExpirePauses(now)
	s.targets.SetSlotsPerTarget(s.grant.ShareOf(s.slotsPerTarget, now))
	s.admission.SetCapacity(s.targets.Capacity(), wake)
	decided := s.admission.Dispatch(now, func(t *admission.Ticket) bool { return s.place(now, t) })
	if s.admission.Waiting() > 0 {
		wake = earliest(wake, s.admission.NextWake())
		if s.grant.SlotsFrom.After(now) {
			wake = earliest(wake, s.grant.SlotsFrom)
		}
		s.setTimer(now, wake)
	}
	s.closeIfDrained()
	return decided
}

func (s *shard) place(now time.Time, t *admission.Ticket) bool {
	p := t.Data.(*placement)
	target, ok := s.targets.Pick(now, p.avoid)
	p.target = target
	return ok
}

// earliest returns the earlier of two times; a zero time is ignored.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// setTimer sets the timer. It is needed only while requests wait, because each change dispatches anyway.
func (s *shard) setTimer(now, wake time.Time) {
	if wake.IsZero() || (wake.Equal(s.timerDue) && s.timer != nil) {
		return
	}
	s.timerDue = wake
	d := max(0, wake.Sub(now))
	if s.timer == nil {
		s.timer = s.clock.AfterFunc(d, s.onTimer)
		return
	}
	s.timer.Reset(d)
}

func (s *shard) onTimer() {
	s.update(s.clock.Now(), func() []*admission.Ticket {
		s.timerDue = time.Time{}
		return nil
	})
}

// beginRequest counts a call of Execute, or refuses it while the cell drains. Retries inside the call are not
// refused, so that a drain aborts no request in progress.
func (s *shard) beginRequest(stopping bool) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stopping || s.draining {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d is draining", s.cell)
	}
	s.activeRequests++
	return nil
}

// endRequest ends a call of Execute.
func (s *shard) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	s.closeIfDrained()
}

func (s *shard) busy() bool {
	return s.activeRequests > 0 || s.admission.InUse() > 0
}

func (s *shard) closeIfDrained() {
	if !s.draining || s.busy() {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// setGrant applies a grant unless a later one has been applied. A new epoch ends a drain.
func (s *shard) setGrant(now time.Time, g ownership.Grant) []*admission.Ticket {
	if now.Before(s.grantTime) || g == s.grant {
		return nil
	}
	if g.Epoch != s.grant.Epoch && s.draining {
		s.draining = false
		s.drained = make(chan struct{})
	}
	s.grant = g
	s.grantTime = now
	return s.admission.SetGrant(now, g)
}

// drain refuses new requests and returns a channel that is closed once none is left.
func (s *shard) drain(now time.Time) <-chan struct{} {
	s.update(now, func() []*admission.Ticket {
		s.draining = true
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

func (s *shard) retryBudget(class ident.ClassName) *routing.RetryBudget {
	b, ok := s.retryBudgets[class]
	if !ok {
		b = &routing.RetryBudget{}
		s.retryBudgets[class] = b
	}
	return b
}
