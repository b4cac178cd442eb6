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
	// noTargetRetryAfter is the delay after which a request that found no target should be repeated. The host list is
	// polled every second.
	noTargetRetryAfter = time.Second
)

// Execute runs a request in a cell that this host owns, with retries. The error is a *verdict.Error.
func (s *Service) Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error) {
	sh, err := s.shard(cell)
	if err != nil {
		return request.Answer{}, err
	}
	begin := s.options.Clock.Now()
	r.Deadline = s.deadline(begin, r)
	callerCtx := ctx
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err = sh.beginRequest(s.draining.Load()); err != nil {
		s.recordOutcome(r.Class, 0, err)
		return request.Answer{}, err
	}
	defer sh.endRequest()
	answer, err := s.runWithRetries(ctx, callerCtx, cell, sh, r)
	s.recordOutcome(r.Class, s.options.Clock.Now().Sub(begin), err)
	if err != nil {
		return request.Answer{}, err
	}
	return answer, nil
}

// runWithRetries repeats a request as far as verdicts and retry budgets allow. ctx ends at the deadline of the
// request, callerCtx with the call of Execute, which for a request with an idempotency key outlasts the deadline.
func (s *Service) runWithRetries(ctx, callerCtx context.Context, cell ident.CellID, sh *shard, r request.Request) (request.Answer, *verdict.Error) {
	var (
		result *verdict.Error
		avoid  ident.TargetID
	)
	limit := s.maxAttempts(r.Class)
	for n := 1; ; n++ {
		attempt := r
		if n > 1 {
			attempt.Immediate = false
			attempt.ID = fmt.Sprintf("%s.%d", r.ID, n)
			s.options.Recorder.Retried(r.Class)
		}
		answer, target, err := s.runAttempt(ctx, callerCtx, cell, sh, attempt, avoid)
		if err == nil {
			return answer, nil
		}
		result = errorToReport(result, err)
		if n >= limit || target == "" || !s.mayRetry(ctx, sh, r, err, target) {
			return request.Answer{}, result
		}
		avoid = target
	}
}

// errorToReport returns the error to report after two failed attempts. Once an earlier attempt may have run, a later
// attempt that did not run does not change that.
func errorToReport(before, latest *verdict.Error) *verdict.Error {
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

// mayRetry reports whether a failed request may be attempted again. After NotRun a repeat is harmless and needs no
// budget, since the failed attempt put no load on a target. Otherwise only idempotent requests are repeated, within
// the retry budgets.
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
	return sh.targets.TakeRetry(sh.retryBudget(r.Class), failed)
}

// runAttempt runs one attempt. target is "" if the attempt did not reach a target.
func (s *Service) runAttempt(
	ctx, callerCtx context.Context, cell ident.CellID, sh *shard, r request.Request, avoid ident.TargetID,
) (answer request.Answer, target ident.TargetID, failure *verdict.Error) {
	place := &placement{avoid: avoid}
	ticket, failure := s.enqueue(sh, r, place)
	if failure != nil {
		return request.Answer{}, "", failure
	}
	select {
	case <-ticket.Decided():
	case <-ctx.Done():
		s.cancelTicket(sh, ticket, place)
		return request.Answer{}, "", verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "the request ended while it waited for a slot")
	}
	if why := ticket.Refusal(); why != nil {
		return request.Answer{}, "", why.Err()
	}
	ended := make(chan routing.AttemptResult, 1)
	a, pending := s.options.Sender.Send(ctx, place.target, r, func(a routing.AttemptResult) {
		s.finishAttempt(sh, ticket, place.target.ID, a, false)
		s.reportLateAnswer(cell, r, a)
		ended <- a
	})
	if pending {
		s.observeAttempt(sh, place.target.ID, a)
		a = awaitLateResult(callerCtx, r, a, ended)
	} else {
		s.finishAttempt(sh, ticket, place.target.ID, a, a.Err == nil)
	}
	return a.Answer, place.target.ID, a.Err
}

// awaitLateResult returns the late result of an attempt if the caller waits beyond the deadline of the request, and a
// otherwise. The host that holds the idempotency key of a request waits that long, because its ledger answers repeats
// of the key with the late result.
func awaitLateResult(callerCtx context.Context, r request.Request, a routing.AttemptResult, ended <-chan routing.AttemptResult) routing.AttemptResult {
	if limit, ok := callerCtx.Deadline(); !ok || !limit.After(r.Deadline) {
		return a
	}
	select {
	case late := <-ended:
		return late
	case <-callerCtx.Done():
		return a
	}
}

// enqueue adds a request to the queue of its class, or refuses it.
func (s *Service) enqueue(sh *shard, r request.Request, p *placement) (*admission.Ticket, *verdict.Error) {
	now := s.options.Clock.Now()
	var (
		ticket  *admission.Ticket
		refusal *admission.Refusal
	)
	sh.update(now, func() []*admission.Ticket {
		if sh.grant.Authority != ownership.None && sh.targets.NumUsable() == 0 {
			refusal = &admission.Refusal{
				Class: r.Class, Code: verdict.CodeUnavailable, Reason: "the cell has no target", RetryAfter: noTargetRetryAfter,
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
			sh.retryBudget(r.Class).Deposit()
		}
		return nil
	})
	if refusal != nil {
		return nil, refusal.Err()
	}
	return ticket, nil
}

// deadline returns the deadline of a request: the one that the caller set, bounded by the longest time that the class
// allows.
func (s *Service) deadline(now time.Time, r request.Request) time.Time {
	const defaultDeadline = 30 * time.Second
	longest := now.Add(defaultDeadline)
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

// cancelTicket gives up a request that was not sent. If it was admitted meanwhile, its slot at the target is
// returned.
func (s *Service) cancelTicket(sh *shard, t *admission.Ticket, p *placement) {
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		if !sh.admission.Cancel(now, t) && p.target.ID != "" && t.Refusal() == nil {
			sh.targets.Release(p.target.ID)
		}
		return nil
	})
}

func (s *Service) observeAttempt(sh *shard, id ident.TargetID, a routing.AttemptResult) {
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		sh.targets.Observe(now, id, a.Observation)
		return nil
	})
}

// finishAttempt returns the slot of a request that has ended at its target.
func (s *Service) finishAttempt(sh *shard, t *admission.Ticket, id ident.TargetID, a routing.AttemptResult, answeredInTime bool) {
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket {
		sh.targets.Observe(now, id, a.Observation)
		sh.targets.DepositRetryBudget(id)
		sh.targets.Release(id)
		sh.admission.Release(now, t, answeredInTime)
		return nil
	})
}

func (s *Service) reportLateAnswer(cell ident.CellID, r request.Request, a routing.AttemptResult) {
	if a.Err != nil {
		return
	}
	s.options.Recorder.LateAnswer(r.Class)
	if s.options.OnLateAnswer != nil {
		s.options.OnLateAnswer(cell, r, a.Answer)
	}
}

// recordOutcome records the outcome of a request. A request that was refused as busy has no outcome yet: it moves on
// to another cell, or comes back to wait.
func (s *Service) recordOutcome(class ident.ClassName, took time.Duration, err *verdict.Error) {
	if err != nil && err.Code == verdict.CodeBusy {
		return
	}
	if _, ok := s.table.Load().Lookup(class); !ok {
		// Callers choose the class name, so that unknown names must not create metrics.
		class = "unknown"
	}
	outcome := verdict.Ran
	if err != nil {
		outcome = err.Verdict
	}
	s.options.Recorder.Executed(class, outcome, took)
}
