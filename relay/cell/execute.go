package cell

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 3
	// noTargetRetry is when a request without a target may come again: the host list is polled each second.
	noTargetRetry = time.Second
)

// Execute runs a request in a cell that this host owns. An error is a *verdict.Error.
func (s *Service) Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error) {
	sh, err := s.shard(cell)
	if err != nil {
		return request.Answer{}, err
	}
	begin := s.options.Clock.Now()
	r.Deadline = s.deadline(begin, r)
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err = sh.arrive(s.draining.Load()); err != nil {
		s.count(r.Class, 0, err)
		return request.Answer{}, err
	}
	defer sh.leave()
	answer, err := s.attempts(ctx, caller, cell, sh, r)
	s.count(r.Class, s.options.Clock.Now().Sub(begin), err)
	if err != nil {
		return request.Answer{}, err
	}
	return answer, nil
}

// attempts repeats a request as far as verdicts and budgets allow. ctx ends with the deadline of the request, caller
// with the call, which for a request under a key goes on after the deadline.
func (s *Service) attempts(ctx, caller context.Context, cell ident.CellID, sh *shard, r request.Request) (request.Answer, *verdict.Error) {
	var (
		outcome *verdict.Error
		avoid   ident.TargetID
	)
	limit := s.maxAttempts(r.Class)
	for n := 1; ; n++ {
		try := r
		if n > 1 {
			try.Immediate = false
			try.ID = fmt.Sprintf("%s.%d", r.ID, n)
			s.options.Recorder.Retried(r.Class)
		}
		answer, target, err := s.attempt(ctx, caller, cell, sh, try, avoid)
		if err == nil {
			return answer, nil
		}
		outcome = worse(outcome, err)
		if n >= limit || target == "" || !s.mayRetry(ctx, sh, r, err, target) {
			return request.Answer{}, outcome
		}
		avoid = target
	}
}

// worse returns the error to report after two failed attempts: once a request may have run, a later attempt that was
// not run changes nothing about that.
func worse(before, latest *verdict.Error) *verdict.Error {
	if before != nil && before.Verdict != verdict.NotRun && latest.Verdict == verdict.NotRun {
		return before
	}
	return latest
}

func (s *Service) maxAttempts(class ident.ClassName) int {
	row, ok := s.table.Load().Lookup(class)
	if !ok {
		return maxAttempts
	}
	return min(maxAttempts, row.Retries+1)
}

// mayRetry decides about another attempt. After NotRun, a repeat does no harm and needs no budget, since the failed
// attempt put no work on a target. Otherwise only idempotent requests are repeated, within the budgets.
func (s *Service) mayRetry(ctx context.Context, sh *shard, r request.Request, err *verdict.Error, failed ident.TargetID) bool {
	if ctx.Err() != nil || err.Code == verdict.CodeInvalid {
		return false
	}
	if err.Verdict == verdict.NotRun {
		return true
	}
	if !r.Idempotent {
		return false
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.targets.TakeRetry(sh.budget(r.Class), failed)
}

// attempt runs one attempt. target is "" if the request did not get as far as a target.
func (s *Service) attempt(
	ctx, caller context.Context, cell ident.CellID, sh *shard, r request.Request, avoid ident.TargetID,
) (answer request.Answer, target ident.TargetID, failure *verdict.Error) {
	p := &placement{avoid: avoid}
	ticket, failure := s.enter(sh, r, p)
	if failure != nil {
		return request.Answer{}, "", failure
	}
	select {
	case <-ticket.Decided():
	case <-ctx.Done():
		s.cancel(sh, ticket, p)
		return request.Answer{}, "", verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "ended while waiting")
	}
	if why := ticket.Refusal(); why != nil {
		return request.Answer{}, "", why.Err()
	}
	ended := make(chan routing.AttemptResult, 1)
	a, pending := s.options.Sender.Send(ctx, p.target, r, func(a routing.AttemptResult) {
		s.end(sh, ticket, p.target.ID, a, false)
		s.late(cell, r, a)
		ended <- a
	})
	if pending {
		s.observe(sh, p.target.ID, a)
		a = awaitLate(caller, r, a, ended)
	} else {
		s.end(sh, ticket, p.target.ID, a, a.Err == nil)
	}
	return a.Answer, p.target.ID, a.Err
}

// awaitLate returns the late end of an attempt if the caller waits longer than the deadline. The host that answers for
// the key of a request does, because a repeat of the key gets the late answer from its ledger.
func awaitLate(caller context.Context, r request.Request, a routing.AttemptResult, ended <-chan routing.AttemptResult) routing.AttemptResult {
	if limit, ok := caller.Deadline(); !ok || !limit.After(r.Deadline) {
		return a
	}
	select {
	case late := <-ended:
		return late
	case <-caller.Done():
		return a
	}
}

// enter puts a request into the queue of its class, or refuses it.
func (s *Service) enter(sh *shard, r request.Request, p *placement) (*admission.Ticket, *verdict.Error) {
	now := s.options.Clock.Now()
	var (
		ticket  *admission.Ticket
		refusal *admission.Refusal
	)
	sh.update(now, func() []*admission.Ticket {
		if sh.grant.Authority != ownership.None && sh.targets.NumUsable() == 0 {
			refusal = &admission.Refusal{
				Class: r.Class, Code: verdict.CodeUnavailable, Reason: "the cell has no target", RetryAfter: noTargetRetry,
			}
			return nil
		}
		enter := sh.admission.Enqueue
		if r.Immediate {
			enter = sh.admission.EnqueueImmediate
		}
		ticket, refusal = enter(now, r.Class, r.Deadline)
		if ticket == nil {
			return nil
		}
		ticket.Data = p
		if p.avoid == "" {
			sh.budget(r.Class).Deposit()
		}
		return nil
	})
	if refusal != nil {
		return nil, refusal.Err()
	}
	return ticket, nil
}

// deadline returns the deadline of a request: the caller's, at most the longest time that its class allows.
func (s *Service) deadline(now time.Time, r request.Request) time.Time {
	const unlimited = 30 * time.Second
	longest := now.Add(unlimited)
	if row, ok := s.table.Load().Lookup(r.Class); ok && row.Deadline > 0 {
		longest = now.Add(row.Deadline)
	} else if !r.Deadline.IsZero() {
		return r.Deadline
	}
	if r.Deadline.IsZero() || r.Deadline.After(longest) {
		return longest
	}
	return r.Deadline
}

// cancel gives up a request that was not sent. It may have been admitted meanwhile; its target's slot then goes back.
func (s *Service) cancel(sh *shard, t *admission.Ticket, p *placement) {
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		if !sh.admission.Cancel(now, t) && p.target.ID != "" && t.Refusal() == nil {
			sh.targets.Release(p.target.ID)
		}
		return nil
	})
}

func (s *Service) observe(sh *shard, id ident.TargetID, a routing.AttemptResult) {
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		sh.targets.Observe(now, id, a.Observation)
		return nil
	})
}

// end returns the slot of a request that has ended at its target.
func (s *Service) end(sh *shard, t *admission.Ticket, id ident.TargetID, a routing.AttemptResult, answered bool) {
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		sh.targets.Observe(now, id, a.Observation)
		sh.targets.DepositRetryBudget(id)
		sh.targets.Release(id)
		sh.admission.Release(now, t, answered)
		return nil
	})
}

func (s *Service) late(cell ident.CellID, r request.Request, a routing.AttemptResult) {
	if a.Err != nil {
		return
	}
	s.options.Recorder.LateAnswer(r.Class)
	if s.options.OnLateAnswer != nil {
		s.options.OnLateAnswer(cell, r, a.Answer)
	}
}

// count notes the outcome of a request. One that goes on to another cell, or comes back to wait, has none yet.
func (s *Service) count(class ident.ClassName, took time.Duration, err *verdict.Error) {
	if err != nil && err.Code == verdict.CodeBusy {
		return
	}
	if _, ok := s.table.Load().Lookup(class); !ok {
		// Callers choose the name, so that unknown ones must not create metrics.
		class = "unknown"
	}
	outcome := verdict.Ran
	if err != nil {
		outcome = err.Verdict
	}
	s.options.Recorder.Executed(class, outcome, took)
}
