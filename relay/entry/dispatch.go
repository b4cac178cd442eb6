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

// dispatch offers a request to cells until one runs it. It tries the next cell if the request was certainly not run,
// and for idempotent requests also after a lost answer, within the retry budget of the class.
func (s *Service) dispatch(ctx context.Context, r request.Request) (request.Answer, error) {
	cells := s.options.Cells.Choose(r.Class, maxCellAttempts)
	if len(cells) == 0 {
		return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no cell has an owner").WithRetryAfter(noOwnerRetryAfter)
	}
	s.retryBudgets.deposit(r.Class)
	s.moveBudgets.deposit(r.Class)
	mayHaveRun := false
	var lastErr *verdict.Error
	for i, cell := range cells {
		if i > 0 && (ctx.Err() != nil || !s.takeRetry(r.Class, lastErr)) {
			break
		}
		var (
			answer request.Answer
			err    error
		)
		if i == 0 {
			answer, err = s.executeWithMove(ctx, cells, r)
		} else {
			answer, err = s.options.Cells.Execute(ctx, cell, r)
		}
		if err == nil {
			return answer, nil
		}
		lastErr = verdict.FromError(err)
		mayHaveRun = mayHaveRun || lastErr.Verdict != verdict.NotRun
		if !mayTryNextCell(lastErr, r.Idempotent) {
			break
		}
	}
	// An earlier attempt that may have run outweighs the refusal of a later attempt.
	if mayHaveRun && lastErr.Verdict == verdict.NotRun {
		return request.Answer{}, verdict.Wrap(lastErr, verdict.MayHaveRun, lastErr.Code, "an earlier attempt may have run")
	}
	return request.Answer{}, lastErr
}

// executeWithMove makes the first attempt. A request that would have to wait for a slot of the first cell moves to
// the second cell if that has a free slot, and otherwise returns to the first to wait. Moving is safe, because a busy
// refusal proves that the request was not run and was in no queue. The second cell starts it only within its own
// share of the limits and if no request waits there. If the second cell took the request, the two cells are swapped,
// so that a later attempt uses another cell.
func (s *Service) executeWithMove(ctx context.Context, cells []ident.CellID, r request.Request) (request.Answer, error) {
	queued := r
	r.Immediate = len(cells) > 1 && s.moveBudgets.canWithdraw(r.Class)
	answer, err := s.options.Cells.Execute(ctx, cells[0], r)
	wait, busy := busyRefusal(err)
	if !busy {
		return answer, err
	}
	if ctx.Err() == nil && s.shouldMove(cells[1], wait) && s.moveBudgets.withdraw(r.Class) {
		answer, err = s.options.Cells.Execute(ctx, cells[1], r)
		if _, busy = busyRefusal(err); !busy {
			cells[0], cells[1] = cells[1], cells[0]
			return answer, err
		}
	}
	return s.options.Cells.Execute(ctx, cells[0], queued)
}

// busyRefusal reports whether err is the refusal of an immediate request by a busy cell, and returns the expected
// wait there.
func busyRefusal(err error) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	e := verdict.FromError(err)
	return e.RetryAfter, e.Verdict == verdict.NotRun && e.Code == verdict.CodeBusy
}

// shouldMove reports whether a request should try the given cell rather than wait.
func (s *Service) shouldMove(cell ident.CellID, wait time.Duration) bool {
	return s.options.Cells.Local(cell) || wait >= minWaitToLeaveDataCentre
}

// takeRetry takes a retry from the budget of the class. A retry after NotRun is free, because the failed attempt put
// no load on a target. If it needed a budget, the loss of one of two owners in a data centre would make the other
// host refuse requests that any cell could run.
func (s *Service) takeRetry(class ident.ClassName, failed *verdict.Error) bool {
	return failed.Verdict == verdict.NotRun || s.retryBudgets.withdraw(class)
}

// mayTryNextCell reports whether another cell may succeed where one failed. A refusal by a limit is final: the limit
// of each cell is its share of one limit of the fleet, so that trying other cells would circumvent the admission
// control of the class.
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

// classBudgets bounds retries or moves to a share of the requests of each class, in shards by class.
type classBudgets struct {
	budgets *shard.Map[ident.ClassName, routing.RetryBudget]
}

func newClassBudgets() *classBudgets {
	return &classBudgets{budgets: shard.NewStringMap[ident.ClassName, routing.RetryBudget](budgetShards)}
}

func (b *classBudgets) deposit(class ident.ClassName) {
	b.budgets.WithShard(class, func(entries map[ident.ClassName]routing.RetryBudget) {
		budget := entries[class]
		budget.Deposit()
		entries[class] = budget
	})
}

// canWithdraw reports whether withdraw would succeed now.
func (b *classBudgets) canWithdraw(class ident.ClassName) bool {
	left := false
	b.budgets.WithShard(class, func(entries map[ident.ClassName]routing.RetryBudget) {
		budget := entries[class]
		left = budget.CanWithdraw()
	})
	return left
}

func (b *classBudgets) withdraw(class ident.ClassName) bool {
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
