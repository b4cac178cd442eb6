package entry

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// dispatch offers a request to cells until one runs it. It goes on to the next cell after proof that the request was
// not run, and for idempotent requests also after a lost answer, within the retry budget of the class.
func (s *Service) dispatch(ctx context.Context, r request.Request) (request.Answer, error) {
	cells := s.options.Cells.Choose(r.Class, maxCellAttempts)
	if len(cells) == 0 {
		return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no cell has an owner").WithRetryAfter(retryAfterNoOwner)
	}
	s.retries.deposit(r.Class)
	s.moves.deposit(r.Class)
	mayHaveRun := false
	var last *verdict.Error
	for i, cell := range cells {
		if i > 0 && (ctx.Err() != nil || !s.mayRepeat(r.Class, last)) {
			break
		}
		var (
			answer request.Answer
			err    error
		)
		if i == 0 {
			answer, err = s.executeFirst(ctx, cells, r)
		} else {
			answer, err = s.options.Cells.Execute(ctx, cell, r)
		}
		if err == nil {
			return answer, nil
		}
		last = verdict.FromError(err)
		mayHaveRun = mayHaveRun || last.Verdict != verdict.NotRun
		if !mayTryNextCell(last, r.Idempotent) {
			break
		}
	}
	// An earlier attempt that may have run outweighs the refusal of a later one.
	if mayHaveRun && last.Verdict == verdict.NotRun {
		return request.Answer{}, verdict.Wrap(last, verdict.MayHaveRun, last.Code, "an earlier attempt may have run")
	}
	return request.Answer{}, last
}

// executeFirst makes the first attempt. A request that would wait for a slot of the first cell goes on to the second one
// if that has a free slot, and otherwise comes back to wait. Refusals for lack of a slot are proof that the request was
// not run and was in no queue, so that moving it is safe; and the second cell starts it only within its own part of the
// limits and if nobody waits there. If the second cell took the request, the two change places, so that a later attempt
// goes elsewhere.
func (s *Service) executeFirst(ctx context.Context, cells []ident.CellID, r request.Request) (request.Answer, error) {
	waiting := r
	r.Immediate = len(cells) > 1 && s.moves.left(r.Class)
	answer, err := s.options.Cells.Execute(ctx, cells[0], r)
	wait, busy := busyFor(err)
	if !busy {
		return answer, err
	}
	if ctx.Err() == nil && s.worthMoving(cells[1], wait) && s.moves.withdraw(r.Class) {
		answer, err = s.options.Cells.Execute(ctx, cells[1], r)
		if _, busy = busyFor(err); !busy {
			cells[0], cells[1] = cells[1], cells[0]
			return answer, err
		}
	}
	return s.options.Cells.Execute(ctx, cells[0], waiting)
}

// busyFor reports whether a cell refused an immediate request, and the expected wait there.
func busyFor(err error) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	e := verdict.FromError(err)
	return e.RetryAfter, e.Verdict == verdict.NotRun && e.Code == verdict.CodeBusy
}

// worthMoving reports whether a request should try another cell rather than wait.
func (s *Service) worthMoving(cell ident.CellID, wait time.Duration) bool {
	return s.options.Cells.Local(cell) || wait >= minFarWait
}

// mayRepeat takes a retry from the budget of the class. A request that was proven not to run put no work on a target, so
// its repeat is free: with a budget, the loss of one of two owners in a data centre made the other host refuse requests
// that any cell could have run.
func (s *Service) mayRepeat(class ident.ClassName, failed *verdict.Error) bool {
	return failed.Verdict == verdict.NotRun || s.retries.withdraw(class)
}

// mayTryNextCell reports whether another cell can succeed where one failed. A refusal by a limit stands: the limit of
// each cell is its part of one limit of the fleet, so trying them all would get around the admission of the class.
func mayTryNextCell(e *verdict.Error, idempotent bool) bool {
	switch e.Verdict {
	case verdict.NotRun:
		return e.Code == verdict.CodeUnavailable || e.Code == verdict.CodeFenced
	case verdict.MayHaveRun:
		return idempotent && e.Code != verdict.CodeDeadline
	default:
		return false
	}
}

// retryBudgets bounds retries to a share of the requests of each class, in shards by class.
type retryBudgets struct {
	budgets *shard.Map[ident.ClassName, routing.RetryBudget]
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: shard.NewStringMap[ident.ClassName, routing.RetryBudget](retryShards)}
}

func (b *retryBudgets) deposit(class ident.ClassName) {
	b.budgets.WithShard(class, func(entries map[ident.ClassName]routing.RetryBudget) {
		budget := entries[class]
		budget.Deposit()
		entries[class] = budget
	})
}

// left reports whether withdraw would succeed now.
func (b *retryBudgets) left(class ident.ClassName) bool {
	left := false
	b.budgets.WithShard(class, func(entries map[ident.ClassName]routing.RetryBudget) {
		budget := entries[class]
		left = budget.CanWithdraw()
	})
	return left
}

func (b *retryBudgets) withdraw(class ident.ClassName) bool {
	granted := false
	b.budgets.WithShard(class, func(entries map[ident.ClassName]routing.RetryBudget) {
		budget := entries[class]
		if granted = budget.CanWithdraw(); granted {
			budget.Withdraw()
		}
		entries[class] = budget
	})
	return granted
}
