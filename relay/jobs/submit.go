package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// A job goes to the inbox if the owner has not answered within ownerPatienceFactor times its average answer time, at
	// least minOwnerPatience and at most maxOwnerPatience. An answer usually takes up to 30 ms: a hop of 0.4 to 4 ms, a
	// write of 4 ms, and 20 ms of grouping.
	ownerPatienceFactor = 4
	minOwnerPatience    = 250 * time.Millisecond
	maxOwnerPatience    = time.Second
	// maxNoOwnerPause bounds the pause before the owner and the inbox of a cell are asked again, and is the pause before an
	// inbox is asked again while the owner does not answer. The inbox opens once a host has claimed the cell of a lost owner.
	maxNoOwnerPause = 400 * time.Millisecond
)

// ownerPatience returns how long a host waits for the answer of an owner before it uses the inbox.
func (r *Router) ownerPatience() time.Duration {
	return min(max(ownerPatienceFactor*r.answerTimes.mean(), minOwnerPatience), maxOwnerPatience)
}

// usesInbox reports whether a job may go through the inbox: only a caller's number makes it the same job by either path.
func (r *Router) usesInbox(spec lifecycle.JobSpec) bool {
	return r.inbox != nil && spec.ClientNumber != 0 && spec.ClientToken == ""
}

// submitNumbered places a job with its owner or, if the owner does not take it in time, in the inbox of its cell. While the
// owner is lost, or the store answers and the inbox is closed, it tries again for as long as it would wait for an owner that
// does not answer: the inbox usually opens 1.3 to 2 s after the death of an owner, when its lease has lapsed.
func (r *Router) submitNumbered(ctx context.Context, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error) {
	if err := spec.Validate(); err != nil {
		return ident.JobID{}, err
	}
	id := ident.CallerAssignedJobID(cell, spec.ClientNumber)
	limitCtx, cancel := context.WithTimeout(ctx, r.submitTimeout+withdrawTimeout)
	defer cancel()
	for pause := noOwnerRetryInterval; ; pause = min(2*pause, maxNoOwnerPause) {
		a := &submission{router: r, id: id, spec: spec}
		err := a.run(limitCtx)
		if err == nil {
			return id, nil
		}
		if !a.mayHelpToRepeat() || sleep.For(limitCtx, pause) != nil {
			return ident.JobID{}, r.withRetryAfter(cell, spec, err)
		}
	}
}

// submission is one attempt to place a job with the owner of its cell or in the inbox.
type submission struct {
	router *Router
	id     ident.JobID
	spec   lifecycle.JobSpec
	// ownerErr and inboxErr are the answers so far; ownerAnswered and inboxAnswered say whether they are known.
	ownerErr, inboxErr           error
	ownerAnswered, inboxAnswered bool
	// ownerLost is set if no owner has taken the call, or its answer was lost with the connection.
	ownerLost bool
}

// run returns nil once either path has made the job durable. While the owner does not answer and the inbox is closed, it
// asks the inbox again.
func (a *submission) run(ctx context.Context) error {
	owner, leave := a.askOwner(ctx)
	patience := time.NewTimer(a.router.ownerPatience())
	defer patience.Stop()
	select {
	case a.ownerErr = <-owner:
		if a.noteOwnerAnswer(); a.ownerDecided() {
			return a.ownerErr
		}
	case <-patience.C:
		a.router.outages.note(a.id.Cell, false)
	case <-ctx.Done():
		leave()
		return a.errNoAnswer(ctx)
	}
	inboxCtx, leaveInbox := context.WithCancel(ctx)
	defer leaveInbox()
	inbox := a.putInInbox(inboxCtx, 0)
	for !a.ownerAnswered || !a.inboxAnswered {
		select {
		case a.ownerErr = <-owner:
			a.noteOwnerAnswer()
			switch {
			case a.ownerErr == nil || isFinalRefusal(verdict.FromError(a.ownerErr)):
				return a.ownerErr
			case a.ownerDecided():
				// A write into the inbox must not follow the refusal.
				leaveInbox()
			}
		case a.inboxErr = <-inbox:
			if a.inboxErr == nil || isFinalRefusal(verdict.FromError(a.inboxErr)) {
				return a.inboxErr
			}
			if a.inboxAnswered = a.ownerAnswered || !isUnavailable(a.inboxErr); !a.inboxAnswered {
				inbox = a.putInInbox(inboxCtx, maxNoOwnerPause)
			}
		case <-ctx.Done():
			leave()
			return a.errNoAnswer(ctx)
		}
	}
	return a.combinedError()
}

// askOwner submits the job to the owner of its cell. The channel receives the answer. The call goes on when the inbox has
// the job, so that the answer times of a slow owner are known, until leave is called or the call takes too long.
func (a *submission) askOwner(ctx context.Context) (answer <-chan error, leave context.CancelFunc) {
	r := a.router
	answers := make(chan error, 1)
	if _, _, err := r.owner(a.id.Cell); err != nil {
		answers <- err
		return answers, func() {}
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.submitTimeout+withdrawTimeout)
	go func() {
		defer cancel()
		defer contain.Recover(r.local.cfg.Logger, "a call to an owner", func() {
			answers <- verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "unexpected error in the call to the owner")
		})
		begun := time.Now()
		_, err := r.submitTo(callCtx, a.id.Cell, a.spec)
		if err == nil {
			r.answerTimes.add(time.Since(begun))
		}
		answers <- err
	}()
	return answers, cancel
}

// putInInbox writes the job into the inbox after a pause. The channel receives the answer.
func (a *submission) putInInbox(ctx context.Context, pause time.Duration) <-chan error {
	r := a.router
	answers := make(chan error, 1)
	reason := "the owner has not answered in time"
	if a.ownerAnswered {
		reason = a.ownerErr.Error()
	}
	go func() {
		defer contain.Recover(r.local.cfg.Logger, "a write into an inbox", func() {
			answers <- verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "unexpected error in the write into the inbox")
		})
		_ = sleep.For(ctx, pause)
		begun := time.Now()
		err := r.inbox.put(ctx, a.id, a.spec)
		switch {
		case err == nil:
			r.local.stats.InboxWritten.Add(1)
			r.local.cfg.DecisionLog.Record(EventJobInInbox, Fields{
				FieldCell: a.id.Cell, FieldJob: jobField(a.id), FieldClass: a.spec.Class, FieldReason: reason,
				FieldDurableMs: time.Since(begun).Milliseconds(),
			})
		case !errors.Is(err, errInboxClosed):
			r.local.stats.InboxRefused.Add(1)
		}
		answers <- err
	}()
	return answers
}

// noteOwnerAnswer records what the answer of the owner says about the owner.
func (a *submission) noteOwnerAnswer() {
	a.ownerAnswered = true
	a.ownerLost = a.ownerErr != nil && (isUnavailable(a.ownerErr) || verdict.FromError(a.ownerErr).Code == verdict.CodeUnknown)
	a.router.outages.note(a.id.Cell, !a.ownerLost)
}

// ownerDecided reports whether the answer of the owner holds without the inbox. A refusal with another code than Unavailable
// comes from an owner that keeps the inbox closed and knows every job of the cell.
func (a *submission) ownerDecided() bool {
	e := verdict.FromError(a.ownerErr)
	return a.ownerErr == nil || e.Verdict == verdict.NotRun && e.Code != verdict.CodeUnavailable
}

// combinedError returns the error of a job that neither the owner nor the inbox has taken. It proves that the job was not
// accepted only if the owner says so and this call has not written the job.
func (a *submission) combinedError() error {
	if a.ownerDecided() && verdict.FromError(a.inboxErr).Verdict == verdict.NotRun {
		return a.ownerErr
	}
	return verdict.Wrap(errors.Join(a.ownerErr, a.inboxErr), verdict.MayHaveRun, verdict.CodeUnavailable,
		"job number %x may have been accepted", a.spec.ClientNumber).WithRetryAfter(verdict.FromError(a.ownerErr).RetryAfter)
}

// mayHelpToRepeat reports whether an attempt without success may succeed a moment later: a successor may claim the cell.
func (a *submission) mayHelpToRepeat() bool {
	if a.inboxAnswered && isFinalRefusal(verdict.FromError(a.inboxErr)) {
		return false
	}
	return a.ownerLost || !a.ownerDecided() && errors.Is(a.inboxErr, errInboxClosed)
}

func (a *submission) errNoAnswer(ctx context.Context) error {
	return verdict.Wrap(errors.Join(ctx.Err(), a.ownerErr, a.inboxErr), verdict.MayHaveRun, verdict.CodeUnavailable,
		"job number %x may have been accepted", a.spec.ClientNumber)
}
