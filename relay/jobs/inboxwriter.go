package jobs

import (
	"context"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// inboxWriteTimeout bounds one attempt to write an entry: a hundred times the usual answer time of the store.
	inboxWriteTimeout = 400 * time.Millisecond
	// inboxRetryPause is the pause before an attempt whose outcome is not known is repeated.
	inboxRetryPause = 20 * time.Millisecond
	// inboxRecountInterval is the shortest time between two reads of a whole inbox by a host at its limit.
	inboxRecountInterval = time.Second
	// minInboxBurst is the number of entries that a host may write at once, however small its part of the limit is. A host may
	// write those of a second at once in any case.
	minInboxBurst = 4
)

// inboxUsage is what this host has written into the inbox of one cell.
type inboxUsage struct {
	// sizes holds the sizes of the entries that may still be in the inbox.
	sizes       map[ident.JobID]int
	recountedAt time.Time
}

// inboxWriter writes jobs into the inboxes of cells, within the limits of this host.
type inboxWriter struct {
	cfg     InboxConfig
	codec   Codec
	limiter *rate.Limiter
	// usage is sharded by cell. No shard is held during a call to the store.
	usage *shard.Map[ident.CellID, *inboxUsage]
}

func newInboxWriter(cfg InboxConfig, codec Codec) *inboxWriter {
	return &inboxWriter{
		cfg: cfg, codec: codec, limiter: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(int(cfg.WritesPerSecond), minInboxBurst)),
		usage: shard.NewMap[ident.CellID, *inboxUsage](ownerShards, func(c ident.CellID) uint64 { return uint64(c) }),
	}
}

// withUsage calls f with the usage of a cell, under the lock of its shard.
func (w *inboxWriter) withUsage(cell ident.CellID, f func(u *inboxUsage)) {
	w.usage.WithShard(cell, func(entries map[ident.CellID]*inboxUsage) {
		u := entries[cell]
		if u == nil {
			u = &inboxUsage{sizes: make(map[ident.JobID]int)}
			entries[cell] = u
		}
		f(u)
	})
}

// put writes a job into the inbox of its cell and returns nil once it is durable there. An error with verdict NotRun proves
// that this call has not written the job and will not. It says nothing about earlier calls.
func (w *inboxWriter) put(ctx context.Context, job ident.JobID, spec lifecycle.JobSpec) error {
	value, err := encodeInboxEntry(w.codec, job, spec, time.Now())
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "job %s cannot be encoded", job)
	}
	reserved, written := false, false
	defer func() {
		if reserved && !written {
			w.release(job)
		}
	}()
	for {
		gate, err := openGateRevision(ctx, w.cfg.Store, job.Cell)
		if err != nil {
			return errNotInInbox(job, false, err)
		}
		entry, found, err := readInboxEntry(ctx, w.cfg.Store, w.codec, job)
		if err != nil {
			return errNotInInbox(job, false, err)
		}
		if found {
			return entry.checkSameWork(spec)
		}
		if spec.TableRevision == 0 {
			// The next owner takes the job as it is, so that this host has to know that its class exists.
			return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "class %q of job %s is not in the table of this host", spec.Class, job)
		}
		if !reserved {
			if err := w.reserve(ctx, job, len(value)); err != nil {
				return err
			}
			reserved = true
		}
		switch outcome, err := w.tryWrite(ctx, job, value, gate); outcome {
		case store.Applied:
			written = true
			return nil
		case store.Unknown:
			written = true
			return w.finishWrite(ctx, job, spec, value, gate, err)
		}
		if sleep.For(ctx, inboxRetryPause) != nil {
			return errNotInInbox(job, false, context.Cause(ctx))
		}
	}
}

// finishWrite repeats a write whose outcome is not known until the entry is seen in the inbox or ctx ends. The owner may
// have taken the entry meanwhile.
func (w *inboxWriter) finishWrite(
	ctx context.Context, job ident.JobID, spec lifecycle.JobSpec, value []byte, gate store.Revision, err error,
) error {
	for sleep.For(ctx, inboxRetryPause) == nil {
		var outcome store.Outcome
		if outcome, err = w.tryWrite(ctx, job, value, gate); outcome == store.Applied {
			return nil
		}
		if outcome == store.Unknown || err != nil {
			continue
		}
		// Either the entry is there, or the gate has been closed since.
		if entry, found, readErr := readInboxEntry(ctx, w.cfg.Store, w.codec, job); readErr == nil {
			if found {
				return entry.checkSameWork(spec)
			}
			return errNotInInbox(job, true, errInboxClosed)
		}
	}
	return errNotInInbox(job, true, err)
}

// tryWrite makes one attempt to write an entry. The condition on the gate stops an attempt that takes effect late: an owner
// that has closed the gate since knows all entries, and may have forgotten the job.
func (w *inboxWriter) tryWrite(ctx context.Context, job ident.JobID, value []byte, gate store.Revision) (store.Outcome, error) {
	callCtx, cancel := context.WithTimeout(ctx, inboxWriteTimeout)
	defer cancel()
	key := inboxKey(job)
	compares := []store.Compare{
		store.KeyAbsent(key), {Key: gateKey(job.Cell), Field: store.FieldModRevision, Revision: gate},
	}
	result, err := w.cfg.Store.Txn(callCtx, compares, []store.Op{{Key: key, Value: value}})
	if err != nil {
		return store.OutcomeOf(err), err
	}
	return result.Outcome, nil
}

// reserve counts an entry against the limits of this host, or returns a refusal.
func (w *inboxWriter) reserve(ctx context.Context, job ident.JobID, size int) error {
	hosts := max(w.cfg.Hosts(), 1)
	if size > store.MaxValueBytes {
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "a job of %d bytes is too large for the inbox", size)
	}
	if !w.fits(job, size, hosts) {
		w.recount(ctx, job.Cell)
		if !w.fits(job, size, hosts) {
			return verdict.New(verdict.NotRun, verdict.CodeLimited, "the inbox of cell %d has no room for this host", job.Cell)
		}
	}
	perSecond := w.cfg.WritesPerSecond / float64(hosts)
	w.limiter.SetLimit(rate.Limit(perSecond))
	w.limiter.SetBurst(max(int(perSecond), minInboxBurst))
	if !w.limiter.Allow() {
		w.release(job)
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "this host has used its part of the writes into inboxes")
	}
	return nil
}

// fits counts an entry if it is within the part of this host.
func (w *inboxWriter) fits(job ident.JobID, size, hosts int) (ok bool) {
	w.withUsage(job.Cell, func(u *inboxUsage) {
		bytes := size
		for _, n := range u.sizes {
			bytes += n
		}
		// One entry always fits, however many hosts there are.
		entries := len(u.sizes) + 1
		if ok = entries == 1 || entries <= w.cfg.MaxEntries/hosts && bytes <= w.cfg.MaxBytes/hosts; ok {
			u.sizes[job] = size
		}
	})
	return ok
}

func (w *inboxWriter) release(job ident.JobID) {
	w.withUsage(job.Cell, func(u *inboxUsage) { delete(u.sizes, job) })
}

// recount forgets the entries of a cell that have been taken.
func (w *inboxWriter) recount(ctx context.Context, cell ident.CellID) {
	counted, due := w.beginRecount(cell)
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, inboxWriteTimeout)
	defer cancel()
	read, err := w.cfg.Store.Range(callCtx, inboxPrefix(cell))
	if err != nil {
		return
	}
	for _, e := range read.Entries {
		if entry, ok := decodeInboxEntry(w.codec, cell, e); ok {
			delete(counted, entry.job)
		}
	}
	w.withUsage(cell, func(u *inboxUsage) {
		for job := range counted {
			delete(u.sizes, job)
		}
	})
}

// beginRecount returns the entries that are counted at present, and whether they are due to be counted again.
func (w *inboxWriter) beginRecount(cell ident.CellID) (counted map[ident.JobID]int, due bool) {
	now := time.Now()
	w.withUsage(cell, func(u *inboxUsage) {
		if due = now.Sub(u.recountedAt) >= inboxRecountInterval; due {
			u.recountedAt = now
			counted = maps.Clone(u.sizes)
		}
	})
	return counted, due
}
