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
	// drainNoticePeriod is how long a draining host still accepts requests after its health check starts to report
	// the drain, so that the load balancer checks its health before the first refusal.
	drainNoticePeriod = time.Second
	// ledgerTransferTimeout bounds the transfer of a ledger to one other host.
	ledgerTransferTimeout = 5 * time.Second
	// leaveTimeout bounds the release of the cells. During an outage of the store the release cannot succeed, and a
	// longer wait would only delay the next owners: the cells become free when the lease of this host ends.
	leaveTimeout = 15 * time.Second
)

// drain shuts the host down gracefully. The order matters: requests end before their ledger is handed over, and the
// ledger is handed over before this host announces that it left, so that some host answers for every key at any time.
func (h *Host) drain() error {
	h.health.setPhase(phaseDraining)
	h.log.Info("drain started")
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.DrainTimeout)
	defer cancel()
	notice := time.NewTimer(min(drainNoticePeriod, h.settings.DrainTimeout/4))
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
		h.log.WithError(err).Error("drain incomplete")
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

// handOverLedgers transfers the ledgers of this host to other hosts. If no host takes one, its keys are lost, and
// repeats of their requests are answered "may have run".
func (h *Host) handOverLedgers(ctx context.Context) error {
	var failed error
	for _, l := range append(h.ledgers.Adopted(), h.ledgers.Own()) {
		if records, _ := l.Usage(); records == 0 && l != h.ledgers.Own() {
			continue
		}
		if err := h.handOverLedger(ctx, l); err != nil {
			h.metrics.Counter("ledger_hand_over_failures_total").Inc(1)
			failed = errors.Join(failed, fmt.Errorf("ledger of %s: %w", l.Issuer(), err))
		}
	}
	return failed
}

// handOverLedger offers a closed ledger to other hosts until one takes it. It stops at the first host that may have
// taken it: two hosts with the same ledger could both run the request of a key.
func (h *Host) handOverLedger(ctx context.Context, l *ledger.Ledger) error {
	records, err := l.Export()
	if err != nil {
		return err
	}
	for _, address := range h.successors() {
		attempt, cancel := context.WithTimeout(ctx, ledgerTransferTimeout)
		err = h.requests.TransferLedger(attempt, address, l.Issuer(), l.Retention(), records)
		cancel()
		if err == nil || verdict.FromError(err).Verdict != verdict.NotRun {
			return err
		}
	}
	return err
}

// successors returns the peer addresses of the other running hosts, those in the data centre of this host first.
func (h *Host) successors() []string {
	var local, remote []string
	for _, m := range h.cluster.Members() {
		switch {
		case m.Instance == h.self || !m.Running() || m.Address == "":
		case m.Payload.DataCentre == h.dataCentre:
			local = append(local, m.Address)
		default:
			remote = append(remote, m.Address)
		}
	}
	return append(local, remote...)
}

func (h *Host) stopServers(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		h.peerServer.GracefulStop()
		close(stopped)
	}()
	err := errors.Join(h.callerServer.notifyIdleAndShutdown(ctx), h.operatorServer.shutdown(ctx))
	select {
	case <-stopped:
	case <-ctx.Done():
		err = errors.Join(err, errors.New("peer calls still in progress"))
	}
	return err
}

// close closes all servers and connections. After a complete drain only idle connections are left.
func (h *Host) close() {
	h.peerServer.Stop()
	_ = h.callerServer.server.Close()
	_ = h.operatorServer.server.Close()
	for i := range h.settings.Cells {
		h.jobs.StopCell(ident.CellID(i))
	}
	h.pool.Close()
	h.targets.Close()
	h.workers.Close()
	h.hostList.Close()
	h.store.Close()
}
