package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// noticeTime is how long a host goes on taking requests after it reports that it drains, so that the balancer's
	// next health check comes before the first refusal.
	noticeTime = time.Second
	// handOverTimeout bounds the transfer of a ledger to one successor.
	handOverTimeout = 5 * time.Second
	// leaveTimeout bounds the release of the cells. During an outage of the store it cannot succeed, and waiting longer
	// only keeps the cells from their next owner: they lapse with the lease.
	leaveTimeout = 15 * time.Second
)

// drain stops the host as planned. The order matters: requests end before their ledger is handed over, and the ledger
// is handed over before this host says that it left, so that every key is answered by some host all the time.
func (h *Host) drain() error {
	h.health.set(phaseDraining)
	h.log.Info("drain started")
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.DrainTimeout)
	defer cancel()
	notice := time.NewTimer(min(noticeTime, h.settings.DrainTimeout/4))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := errors.Join(
		h.entry.Drain(ctx),
		h.handOverLedgers(ctx),
		h.leave(ctx),
		h.stopServers(ctx),
	)
	h.close()
	if err != nil {
		h.metrics.Counter("drain_timeouts_total").Inc(1)
		h.log.WithError(err).Error("drain ended early")
		return fmt.Errorf("%w: %w", ErrDrainTimeout, err)
	}
	h.log.Info("drain finished")
	return nil
}

func (h *Host) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return h.cluster.Leave(ctx)
}

// handOverLedgers passes the records of this host on. Without a successor the keys of this host end with it: repeats
// are then answered "may have run".
func (h *Host) handOverLedgers(ctx context.Context) error {
	var failed error
	for _, l := range append(h.ledgers.Adopted(), h.ledgers.Own()) {
		if records, _ := l.Usage(); records == 0 && l != h.ledgers.Own() {
			continue
		}
		if err := h.handOver(ctx, l); err != nil {
			h.metrics.Counter("ledger_hand_over_failures_total").Inc(1)
			failed = errors.Join(failed, fmt.Errorf("ledger of %s: %w", l.Issuer(), err))
		}
	}
	return failed
}

// handOver offers a closed ledger to other hosts until one takes it. It stops at the first one that may have taken it:
// two hosts with the same ledger could both run a key.
func (h *Host) handOver(ctx context.Context, l *ledger.Ledger) error {
	records, err := l.Export()
	if err != nil {
		return err
	}
	for _, address := range h.successors() {
		attempt, cancel := context.WithTimeout(ctx, handOverTimeout)
		err = h.requests.TransferLedger(attempt, address, l.Issuer(), l.Retention(), records)
		cancel()
		if err == nil || verdict.FromError(err).Verdict != verdict.NotRun {
			return err
		}
	}
	return err
}

// successors returns the peer addresses of the running hosts, those of the own data centre first.
func (h *Host) successors() []string {
	var near, far []string
	for _, m := range h.cluster.Members() {
		switch {
		case m.Instance == h.self || !m.Running() || m.Address == "":
		case m.Payload.DataCentre == h.centre:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	return append(near, far...)
}

func (h *Host) stopServers(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		h.peers.GracefulStop()
		close(stopped)
	}()
	h.callers.idle.dismiss(ctx)
	err := errors.Join(h.callers.shutdown(ctx), h.operators.shutdown(ctx))
	select {
	case <-stopped:
	case <-ctx.Done():
		err = errors.Join(err, errors.New("calls of peers still in progress"))
	}
	return err
}

// close ends what is still open. After a finished drain that is nothing but idle connections.
func (h *Host) close() {
	h.peers.Stop()
	_ = h.callers.server.Close()
	_ = h.operators.server.Close()
	for i := range h.settings.Cells {
		h.jobs.StopCell(ident.CellID(i))
	}
	h.pool.Close()
	h.targets.Close()
	h.workers.Close()
	h.hostList.Close()
	h.store.Close()
}
