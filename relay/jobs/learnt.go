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

// learntInterval bounds how much of what an owner learns is lost with it. At the target size, 128 cells that all learn make
// 32 writes a second, beside the 200 of their logs.
const learntInterval = 4 * time.Second

func learntKey(cell ident.CellID) string { return fmt.Sprintf("/cell/%d/learnt", cell) }

// recall takes over what the predecessor has learnt. An owner without it learns anew, so that a failure is only logged.
func (o *owner) recall(ctx context.Context) {
	p, ok := o.planner.(LearningPlanner)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, found, err := o.cfg.Store.Get(call, learntKey(o.cellID))
	if err != nil {
		o.logger.WithError(err).Warn("what the predecessor learnt cannot be read: it is learnt anew")
		return
	}
	if !found {
		return
	}
	learnt, err := o.cfg.Codec.DecodeEstimates(entry.Value)
	if err != nil {
		o.logger.WithError(err).Warn("what the predecessor learnt cannot be decoded: it is learnt anew")
		return
	}
	p.RestoreEstimates(learnt)
	o.learnt = entry.Value
}

// keepLearnt writes what the planner has learnt, until ctx ends.
func (o *owner) keepLearnt(ctx context.Context) {
	p, ok := o.planner.(LearningPlanner)
	if !ok {
		return
	}
	failing := false
	for sleep.For(ctx, learntInterval) == nil {
		err := o.saveLearnt(ctx, p)
		if err != nil && !failing {
			o.logger.WithError(err).Warn("what the planner has learnt cannot be written")
		}
		failing = err != nil
	}
}

func (o *owner) saveLearnt(ctx context.Context, p LearningPlanner) error {
	value, err := o.cfg.Codec.EncodeEstimates(p.Estimates())
	if err != nil {
		return err
	}
	if bytes.Equal(value, o.learnt) {
		return nil
	}
	if err := o.log.guarded(ctx, store.Op{Key: learntKey(o.cellID), Value: value}); err != nil {
		return err
	}
	o.learnt = value
	return nil
}
