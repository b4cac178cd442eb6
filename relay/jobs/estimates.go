package jobs

import (
	"bytes"
	"context"
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
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, found, err := o.cfg.Store.Get(callCtx, estimatesKey(o.cellID))
	if err != nil {
		o.logger.WithError(err).Warn("cannot read the estimates of the predecessor; they are learnt anew")
		return
	}
	if !found {
		return
	}
	estimates, err := o.cfg.Codec.DecodeEstimates(entry.Value)
	if err != nil {
		o.logger.WithError(err).Warn("cannot decode the estimates of the predecessor; they are learnt anew")
		return
	}
	p.RestoreEstimates(estimates)
	o.savedEstimates = entry.Value
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

func (o *owner) saveEstimates(ctx context.Context, p LearningPlanner) error {
	value, err := o.cfg.Codec.EncodeEstimates(p.Estimates())
	if err != nil {
		return err
	}
	if bytes.Equal(value, o.savedEstimates) {
		return nil
	}
	if err := o.log.writeAsOwner(ctx, store.Op{Key: estimatesKey(o.cellID), Value: value}); err != nil {
		return err
	}
	o.savedEstimates = value
	return nil
}
