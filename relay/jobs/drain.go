package jobs

import (
	"context"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Drain hands a cell over: it stops placing tasks, makes all records durable, writes a snapshot that includes all
// commands sent to workers, and stops the cell. After an error the next owner treats this one as lost.
func (s *Service) Drain(ctx context.Context, cell ident.CellID) error {
	return s.DrainCutOff(ctx, ctx, cell)
}

// DrainCutOff is Drain for an owner that does not reach its workers: it waits for calls to them until callsCtx ends only.
// The snapshot says on which worker each attempt may run whose call has no answer. A start that is carried out later is
// refused by its fence, or found when the next owner claims the worker.
func (s *Service) DrainCutOff(ctx, callsCtx context.Context, cell ident.CellID) error {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil
	}
	defer s.stopOwner(cell, o.epoch)
	o.draining.Store(true)
	var gate store.Revision
	if !o.call(ctx, func() {
		o.apply(o.cell.SetAuthority(o.now(), false, o.predecessorConfirmed))
		gate = o.leaveInbox()
	}) {
		return o.errNotRun(ctx)
	}
	o.reopenInbox(ctx, gate)
	select {
	case <-o.callsDone:
	case <-o.ctx.Done():
		return errNotOwned(cell)
	case <-callsCtx.Done():
		if ctx.Err() != nil {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeDeadline, "drain cell %d: wait for calls to workers", cell)
		}
	}
	snapshot, err := o.finish(ctx)
	if err != nil {
		return err
	}
	if !snapshot.Clean {
		// The log already holds all that this owner knows, and a further snapshot could get the id of the present one.
		return nil
	}
	if err := o.log.snapshots.write(ctx, snapshot, o.log.seq); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "drain cell %d: write the snapshot", cell)
	}
	return nil
}

// finish stops the loop and the log writer at a moment when every record is durable, and returns the state at that
// moment. Reports of workers are no longer accepted once the records queued at the start are durable: each report of
// ended attempts would add records, so that a busy cell would never become idle. The workers keep these ends for the
// next owner.
func (o *owner) finish(ctx context.Context) (lifecycle.Snapshot, error) {
	var (
		snapshot      lifecycle.Snapshot
		snapshotTaken bool
	)
	if err := o.log.awaitQueued(ctx); err != nil {
		return snapshot, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "drain cell %d: write the queued records", o.cellID)
	}
	if !o.call(ctx, o.stopConns) {
		return snapshot, o.errNotRun(ctx)
	}
	for !snapshotTaken {
		if err := o.log.flush(ctx); err != nil {
			return snapshot, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "drain cell %d: flush the log", o.cellID)
		}
		ran := o.call(ctx, func() {
			if o.log.allDurable() {
				snapshot = o.snapshot(true)
				snapshotTaken = true
				o.cancel()
			}
		})
		if ran {
			continue
		}
		// The snapshot was taken, the owner was stopped, or the caller gave up.
		err := o.errNotRun(ctx)
		o.cancel()
		o.wg.Wait()
		if !snapshotTaken {
			return snapshot, err
		}
	}
	o.wg.Wait()
	return snapshot, nil
}
