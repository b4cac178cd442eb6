package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// estimateSaveInterval bounds the learnt estimates that are lost with an owner. At the target size, 128 cells whose
// estimates all change cause 32 writes a second, beside the 200 of their logs.
const estimateSaveInterval = 4 * time.Second

func estimatesKey(cell ident.CellID) string { return fmt.Sprintf("/cell/%d/learnt", cell) }

// restoreEstimates loads what the predecessor's planner has learnt. A failure is only logged, because an owner
// without estimates learns them anew.
func (o *owner) restoreEstimates(ctx context.Context) {
	p, ok := o.planner.(LearningPlanner)
	if !ok {
		return
	}
	found, err := o.readSavedEstimates(ctx)
	if err != nil {
		o.logger.WithError(err).Warn("cannot read the estimates of the predecessor; they are learnt anew")
		return
	}
	if !found {
		return
	}
	estimates, err := o.cfg.Codec.DecodeEstimates(o.savedEstimates.Value)
	if err != nil {
		o.logger.WithError(err).Warn("cannot decode the estimates of the predecessor; they are learnt anew")
		return
	}
	p.RestoreEstimates(estimates)
}

// saveEstimatesPeriodically writes the estimates of the planner to the store until ctx ends.
func (o *owner) saveEstimatesPeriodically(ctx context.Context) {
	p, ok := o.planner.(LearningPlanner)
	if !ok {
		return
	}
	failing := false
	for sleep.For(ctx, estimateSaveInterval) == nil {
		err := o.saveEstimates(ctx, p)
		if err != nil && !failing {
			o.logger.WithError(err).Warn("cannot write the estimates of the planner")
		}
		failing = err != nil
	}
}

// saveEstimates writes the estimates unless the store holds them already. The write names the value that it replaces,
// so that the store cannot execute it after a newer one.
func (o *owner) saveEstimates(ctx context.Context, p LearningPlanner) error {
	value, err := o.cfg.Codec.EncodeEstimates(p.Estimates())
	if err != nil {
		return err
	}
	if bytes.Equal(value, o.savedEstimates.Value) {
		return nil
	}
	revision, err := o.log.replaceAsOwner(ctx, estimatesKey(o.cellID), o.savedEstimates.ModRevision, value)
	if errors.Is(err, errReplaced) {
		// An earlier write, whose answer was lost, may have taken effect.
		_, readErr := o.readSavedEstimates(ctx)
		return errors.Join(err, readErr)
	}
	if err != nil {
		return err
	}
	o.savedEstimates = store.Entry{Value: value, ModRevision: revision}
	return nil
}

// readSavedEstimates reads the stored estimates into savedEstimates, which becomes empty if there are none.
func (o *owner) readSavedEstimates(ctx context.Context) (found bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, found, err := o.cfg.Store.Get(callCtx, estimatesKey(o.cellID))
	if err == nil {
		o.savedEstimates = entry
	}
	return found, err
}
