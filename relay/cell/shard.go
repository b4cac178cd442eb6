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

// shard is the state of one cell. Admission and routing share its lock, so that a request starts and takes the slot of
// a target in one step, and the slots of a target are never exceeded.
type shard struct {
	cell   ident.CellID
	clock  Clock
	grants Grants
	slots  int
	// asked is when the platform was last asked for the host list; it holds nil as long as nobody polls it.
	asked *atomic.Pointer[time.Time]

	mu        sync.Mutex
	admission *admission.Controller
	targets   *routing.Targets
	listed    []routing.Target
	budgets   map[ident.ClassName]*routing.RetryBudget
	grant     ownership.Grant
	grantAt   time.Time
	draining  bool
	// requests counts the calls of Execute that the cell took; a request that is between two attempts is in no queue.
	requests int
	// idle is closed once the cell drains and has no requests.
	idle   chan struct{}
	timer  Timer
	wakeAt time.Time
}

// placement is where a ticket goes.
type placement struct {
	avoid  ident.TargetID
	target routing.Target
}

func newShard(cell ident.CellID, o Options, asked *atomic.Pointer[time.Time]) *shard {
	return &shard{
		cell:      cell,
		clock:     o.Clock,
		grants:    o.Grants,
		slots:     o.SlotsPerTarget,
		asked:     asked,
		admission: admission.New(o.Cells),
		targets:   routing.NewTargets(rand.New(rand.NewPCG(o.Seed, uint64(cell)))),
		budgets:   make(map[ident.ClassName]*routing.RetryBudget),
		idle:      make(chan struct{}),
	}
}

// update makes a change under the lock, starts what may start, and signals the decided requests after unlocking. The
// change returns tickets that it refused.
func (s *shard) update(now time.Time, change func() []*admission.Ticket) {
	var current ownership.Grant
	if s.grants != nil {
		// Asked before locking: the grants may have locks of their own.
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

// maxListAge is the time since the host list was last asked for after which nothing is started: the host itself stood
// still, and targets may have left meanwhile. A read begins each second and takes 1 s at most, and a target that leaves
// must get nothing after 3 s. A list that cannot be read counts as asked for, so that requests go on without it.
const maxListAge = 2500 * time.Millisecond

// resumed reports whether this host has not asked for the host list for so long that it must have stood still.
func (s *shard) resumed(now time.Time) bool {
	asked := s.asked.Load()
	return asked != nil && now.Sub(*asked) > maxListAge
}

// dispatch starts requests and sets the timer for the next change that comes by time alone.
func (s *shard) dispatch(now time.Time) []*admission.Ticket {
	if s.resumed(now) {
		// The next read of the list dispatches.
		s.noteIdle()
		return nil
	}
	wake := s.targets.ExpirePauses(now)
	s.targets.SetSlotsPerTarget(s.grant.ShareOf(s.slots, now))
	s.admission.SetCapacity(s.targets.Capacity(), wake)
	decided := s.admission.Dispatch(now, func(t *admission.Ticket) bool { return s.place(now, t) })
	if s.admission.Waiting() > 0 {
		wake = sooner(wake, s.admission.NextWake())
		if s.grant.SlotsFrom.After(now) {
			wake = sooner(wake, s.grant.SlotsFrom)
		}
		s.arm(now, wake)
	}
	s.noteIdle()
	return decided
}

func (s *shard) place(now time.Time, t *admission.Ticket) bool {
	p := t.Data.(*placement)
	target, ok := s.targets.Pick(now, p.avoid)
	p.target = target
	return ok
}

// sooner returns the earlier of two times, of which a zero one does not count.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// arm sets the timer. It is needed only while requests wait, because each change dispatches by itself.
func (s *shard) arm(now, wake time.Time) {
	if wake.IsZero() || (wake.Equal(s.wakeAt) && s.timer != nil) {
		return
	}
	s.wakeAt = wake
	d := max(0, wake.Sub(now))
	if s.timer == nil {
		s.timer = s.clock.AfterFunc(d, s.wake)
		return
	}
	s.timer.Reset(d)
}

func (s *shard) wake() {
	s.update(s.clock.Now(), func() []*admission.Ticket {
		s.wakeAt = time.Time{}
		return nil
	})
}

// arrive takes a call of Execute, or refuses it while the cell drains. The retries of a call that was taken are not
// refused, so that a drain cuts off no request in progress.
func (s *shard) arrive(stopping bool) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stopping || s.draining {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d is draining", s.cell)
	}
	s.requests++
	return nil
}

// leave ends a call of Execute.
func (s *shard) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
	s.noteIdle()
}

func (s *shard) busy() bool {
	return s.requests > 0 || s.admission.InUse() > 0
}

func (s *shard) noteIdle() {
	if !s.draining || s.busy() {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// setGrant puts a grant in force unless a later one is. A new epoch ends a drain.
func (s *shard) setGrant(now time.Time, g ownership.Grant) []*admission.Ticket {
	if now.Before(s.grantAt) || g == s.grant {
		return nil
	}
	if g.Epoch != s.grant.Epoch && s.draining {
		s.draining = false
		s.idle = make(chan struct{})
	}
	s.grant = g
	s.grantAt = now
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
	return s.idle
}

func (s *shard) budget(class ident.ClassName) *routing.RetryBudget {
	b, ok := s.budgets[class]
	if !ok {
		b = &routing.RetryBudget{}
		s.budgets[class] = b
	}
	return b
}
