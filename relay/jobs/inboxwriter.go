package jobs

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
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

// inboxWriter writes jobs into the inboxes of cells, within the limits of this host.
type inboxWriter struct {
	cfg     InboxConfig
	codec   Codec
	limiter *rate.Limiter

	// mu guards the fields below. It is not held during calls to the store.
	mu sync.Mutex
	// written holds the sizes of the entries that this host has written and that may still be in the inbox.
	written     map[ident.CellID]map[ident.JobID]int
	recountedAt map[ident.CellID]time.Time
}

func newInboxWriter(cfg InboxConfig, codec Codec) *inboxWriter {
	return &inboxWriter{
		cfg: cfg, codec: codec, limiter: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(int(cfg.WritesPerSecond), minInboxBurst)),
		written: make(map[ident.CellID]map[ident.JobID]int), recountedAt: make(map[ident.CellID]time.Time),
	}
}

// put writes a job into the inbox of its cell and returns nil once it is durable there. An error with verdict NotRun proves
// that the inbox did not hold the job and that this call has not written it.
func (w *inboxWriter) put(ctx context.Context, job ident.JobID, spec lifecycle.JobSpec) error {
	value, err := encodeInboxEntry(w.codec, job, spec, time.Now())
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "job %s cannot be encoded", job)
	}
	mayBeWritten, reserved := false, false
	for {
		entry, found, err := readInboxEntry(ctx, w.cfg.Store, w.codec, job)
		if err != nil {
			return err
		}
		if found {
			return entry.checkSameWork(spec)
		}
		if !reserved {
			if err := w.reserve(ctx, job, len(value)); err != nil {
				return err
			}
			reserved = true
		}
		outcome := w.tryWrite(ctx, job, value)
		if outcome == store.Applied {
			return nil
		}
		mayBeWritten = mayBeWritten || outcome == store.Unknown
		if sleep.For(ctx, inboxRetryPause) == nil {
			continue
		}
		if mayBeWritten {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the write of job %s into the inbox was not answered", job)
		}
		w.release(job)
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "job %s was not written into the inbox", job)
	}
}

// tryWrite makes one attempt to write an entry. The condition on the snapshot head, which is read after the call has come,
// stops an attempt that takes effect late: the owner may have forgotten the job by then.
func (w *inboxWriter) tryWrite(ctx context.Context, job ident.JobID, value []byte) store.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, inboxWriteTimeout)
	defer cancel()
	head, _, err := w.cfg.Store.Get(callCtx, headKey(job.Cell))
	if err != nil {
		return store.NotApplied
	}
	key := inboxKey(job)
	compares := []store.Compare{
		store.KeyAbsent(key), {Key: headKey(job.Cell), Field: store.FieldModRevision, Revision: head.ModRevision},
	}
	result, err := w.cfg.Store.Txn(callCtx, compares, []store.Op{{Key: key, Value: value}})
	if err != nil {
		return store.OutcomeOf(err)
	}
	return result.Outcome
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
func (w *inboxWriter) fits(job ident.JobID, size, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := w.written[job.Cell]
	bytes := size
	for _, n := range entries {
		bytes += n
	}
	if len(entries)+1 > max(w.cfg.MaxEntries/hosts, 1) || len(entries) > 0 && bytes > w.cfg.MaxBytes/hosts {
		return false
	}
	if entries == nil {
		entries = make(map[ident.JobID]int)
		w.written[job.Cell] = entries
	}
	entries[job] = size
	return true
}

func (w *inboxWriter) release(job ident.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.written[job.Cell], job)
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
	w.mu.Lock()
	defer w.mu.Unlock()
	for job := range counted {
		delete(w.written[cell], job)
	}
}

// beginRecount returns the entries that are counted at present, and whether they are due to be counted again.
func (w *inboxWriter) beginRecount(cell ident.CellID) (counted map[ident.JobID]struct{}, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.recountedAt[cell]) < inboxRecountInterval {
		return nil, false
	}
	w.recountedAt[cell] = now
	counted = make(map[ident.JobID]struct{}, len(w.written[cell]))
	for job := range w.written[cell] {
		counted[job] = struct{}{}
	}
	return counted, true
}
