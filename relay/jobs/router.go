package jobs

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/retry"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// maxCellsTried bounds the cells that are asked to accept a job after others have certainly refused it.
	maxCellsTried = 3
	// watchWait is how long an owner may hold a call that waits for a change of a job.
	watchWait = 10 * time.Second
	// noOwnerRetryInterval is the pause before the cells are asked again for a job that none could accept.
	noOwnerRetryInterval = 100 * time.Millisecond
)

// Directory knows the cells and their owners.
type Directory interface {
	// Cells returns all cells, ordered by free capacity, most first.
	Cells() []ident.CellID
	// Owner returns the address of the owner of a cell. local is true if this host owns it; ok is false if no owner is
	// known.
	Owner(cell ident.CellID) (address string, local, ok bool)
}

// Peer performs calls about jobs to other relay hosts.
type Peer interface {
	Submit(ctx context.Context, address string, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error)
	// Get returns the job once its version differs from version, after wait at the latest; a wait of 0 returns at
	// once.
	Get(ctx context.Context, address string, id ident.JobID, from, limit int, version uint64, wait time.Duration) (lifecycle.JobView, error)
	List(ctx context.Context, address string, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error)
	Cancel(ctx context.Context, address string, id ident.JobID) error
	// WaitingJobs returns the number of jobs of a cell that have not run any task yet, by class.
	WaitingJobs(ctx context.Context, address string, cell ident.CellID) (map[ident.ClassName]int, error)
}

// Router forwards calls about jobs to the owner of their cell.
type Router struct {
	local     *Service
	directory Directory
	peer      Peer
	// submitTimeout is how long a submission waits for an owner that accepts it.
	submitTimeout time.Duration
	// inbox is nil if the deployment uses no inboxes.
	inbox *inboxWriter
	// answerTimes are the times that owners take to accept a job.
	answerTimes movingAverage

	outages outages
}

// NewRouter returns a router for calls that arrive at this host. local may be nil if this host owns no cells.
func NewRouter(local *Service, d Directory, p Peer) *Router {
	r := &Router{local: local, directory: d, peer: p, submitTimeout: DefaultDurableWait, outages: newOutages()}
	if local != nil {
		r.submitTimeout = local.cfg.DurableWait
		if local.cfg.Inbox.enabled() {
			r.inbox = newInboxWriter(local.cfg.Inbox, local.cfg.Codec)
		}
	}
	return r
}

// owner returns the address of the owner of a cell, and whether this host is the owner.
func (r *Router) owner(cell ident.CellID) (address string, local bool, err error) {
	address, local, ok := r.directory.Owner(cell)
	if !ok {
		r.outages.note(cell, false)
		err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d has no owner at present", cell)
		return "", false, r.withRetryAfter(cell, lifecycle.JobSpec{}, err)
	}
	return address, local, nil
}

// Submit places a job in a cell. A client token or number always leads to the same cell, where repeats are
// recognized. A job without one goes to the cell with the most free capacity, and to the next cell after a refusal.
// While no cell can accept the job, because its owner waits for the store or the cell has no owner, the job waits, in
// all as long as it would for the store. After an outage the owners first have to claim their cells again, and
// refusing jobs during that time would serve no purpose.
func (r *Router) Submit(ctx context.Context, spec lifecycle.JobSpec) (ident.JobID, error) {
	if r.local != nil {
		// The owner may have an older table than this host, which has told the caller that the class exists.
		spec.ResolveClass(r.local.table.Load())
	}
	if cells := r.directory.Cells(); len(cells) > 0 && r.usesInbox(spec) {
		return r.submitNumbered(ctx, CellOfNumber(cells, spec.ClientNumber), spec)
	}
	waitCtx, cancel := context.WithTimeout(ctx, r.submitTimeout)
	defer cancel()
	for {
		id, err := r.tryCells(ctx, waitCtx, spec)
		if err == nil || !isUnavailable(err) || sleep.For(waitCtx, noOwnerRetryInterval) != nil {
			return id, withUnknownOutcome(spec, err)
		}
	}
}

// withUnknownOutcome replaces the verdict NotRun of a refusal that did not come from an owner with the log of the
// cell: an earlier submission under the same number may have been accepted there.
func withUnknownOutcome(spec lifecycle.JobSpec, err error) error {
	if spec.ClientNumber == 0 || err == nil || !isUnavailable(err) {
		return err
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable,
		"job number %x: an earlier submission may have been accepted", spec.ClientNumber).
		WithRetryAfter(verdict.FromError(err).RetryAfter)
}

// isUnavailable reports whether a job was certainly not accepted by a cell that may be able to accept it soon.
func isUnavailable(err error) bool {
	e := verdict.FromError(err)
	return e.Verdict == verdict.NotRun && e.Code == verdict.CodeUnavailable
}

// tryCells asks the cells one after another to accept the job. It asks no further cell once waitCtx has ended.
func (r *Router) tryCells(ctx, waitCtx context.Context, spec lifecycle.JobSpec) (ident.JobID, error) {
	cells := r.directory.Cells()
	if len(cells) == 0 {
		return ident.JobID{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no cell is known yet").WithRetryAfter(retry.MinDelay)
	}
	switch {
	case spec.ClientNumber != 0:
		return r.submitTo(ctx, CellOfNumber(cells, spec.ClientNumber), spec)
	case spec.ClientToken != "":
		return r.submitTo(ctx, cellOfToken(cells, spec.ClientToken), spec)
	}
	var (
		id  ident.JobID
		err error
	)
	for _, cell := range cells[:min(len(cells), maxCellsTried)] {
		id, err = r.submitTo(ctx, cell, spec)
		if err == nil || verdict.FromError(err).Verdict != verdict.NotRun || waitCtx.Err() != nil {
			return id, err
		}
	}
	return id, err
}

// CellOfNumber returns the cell of a job with a number assigned by its caller. It is the same at every host.
func CellOfNumber(cells []ident.CellID, number uint64) ident.CellID {
	return highestScored(cells, func(cell ident.CellID) uint64 {
		var key [12]byte
		binary.BigEndian.PutUint64(key[:], number)
		binary.BigEndian.PutUint32(key[8:], uint32(cell))
		return xxhash.Sum64(key[:])
	})
}

// JobOfNumber returns the id of a job with a number assigned by its caller.
func (r *Router) JobOfNumber(number uint64) ident.JobID {
	return ident.CallerAssignedJobID(CellOfNumber(r.directory.Cells(), number), number)
}

// WaitingJobs returns the number of jobs of a class, over all cells, that have not run any task yet. ok is false if a
// cell could not be asked.
func (r *Router) WaitingJobs(ctx context.Context, class ident.ClassName) (n int, ok bool) {
	ok = true
	for _, cell := range r.directory.Cells() {
		waiting, err := r.waitingJobsIn(ctx, cell)
		if err != nil {
			ok = false
			continue
		}
		n += waiting[class]
	}
	return n, ok
}

func (r *Router) waitingJobsIn(ctx context.Context, cell ident.CellID) (map[ident.ClassName]int, error) {
	address, local, err := r.owner(cell)
	if err != nil {
		return nil, err
	}
	if local {
		return r.local.WaitingJobs(ctx, cell)
	}
	return r.peer.WaitingJobs(ctx, address, cell)
}

// cellOfToken returns the cell of jobs with a client token.
func cellOfToken(cells []ident.CellID, token string) ident.CellID {
	return highestScored(cells, func(cell ident.CellID) uint64 {
		return xxhash.Sum64String(token + "/" + ident.JobID{Cell: cell}.String())
	})
}

// highestScored returns the cell with the highest score (rendezvous hashing), so that the order of the cells does not
// matter.
func highestScored(cells []ident.CellID, scoreOf func(ident.CellID) uint64) ident.CellID {
	best, bestScore := cells[0], uint64(0)
	for _, cell := range cells {
		score := scoreOf(cell)
		if score > bestScore || score == bestScore && cell < best {
			best, bestScore = cell, score
		}
	}
	return best
}

func (r *Router) submitTo(ctx context.Context, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error) {
	address, local, err := r.owner(cell)
	if err != nil {
		return ident.JobID{}, err
	}
	var id ident.JobID
	if local {
		id, err = r.local.Submit(ctx, cell, spec)
	} else {
		id, err = r.peer.Submit(ctx, address, cell, spec)
	}
	if err == nil {
		r.outages.note(cell, true)
	}
	return id, err
}

// queryTimeout bounds a query, which an owner answers from its memory, or once the record of the job is durable.
func (r *Router) queryTimeout() time.Duration {
	return min(maxOwnerPatience, r.submitTimeout)
}

// Get returns a job with at most limit of its tasks, starting at index from.
func (r *Router) Get(ctx context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error) {
	address, local, err := r.owner(id.Cell)
	if err != nil {
		return lifecycle.JobView{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, r.queryTimeout())
	defer cancel()
	var v lifecycle.JobView
	if local {
		v, err = r.local.Get(callCtx, id, from, limit)
	} else {
		v, err = r.peer.Get(callCtx, address, id, from, limit, 0, 0)
	}
	return v, r.withRetryAfterUnknown(id.Cell, err)
}

// List returns at most limit jobs of a cell, beginning with the one that follows the job after.
func (r *Router) List(ctx context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	address, local, err := r.owner(cell)
	if err != nil {
		return nil, err
	}
	if local {
		return r.local.List(ctx, cell, after, limit)
	}
	return r.peer.List(ctx, address, cell, after, limit)
}

// Cells returns all cells, for use with List.
func (r *Router) Cells() []ident.CellID {
	return r.directory.Cells()
}

// Cancel cancels a job and returns once the cancellation is durable.
func (r *Router) Cancel(ctx context.Context, id ident.JobID) error {
	address, local, err := r.owner(id.Cell)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, r.submitTimeout+withdrawTimeout)
	defer cancel()
	if local {
		err = r.local.Cancel(callCtx, id)
	} else {
		err = r.peer.Cancel(callCtx, address, id)
	}
	return r.withRetryAfterUnknown(id.Cell, err)
}

// Watch delivers a job now and after each change, until its state is final or ctx ends. It continues when the cell
// changes its owner.
func (r *Router) Watch(ctx context.Context, id ident.JobID) (<-chan lifecycle.JobView, error) {
	first, err := r.Get(ctx, id, 0, 0)
	if err != nil {
		return nil, err
	}
	out := make(chan lifecycle.JobView)
	go func() {
		defer close(out)
		for v := first; ; {
			select {
			case out <- v:
			case <-ctx.Done():
				return
			}
			if v.State.Final() {
				return
			}
			next, ok := r.nextVersion(ctx, id, v.Version)
			if !ok {
				return
			}
			v = next
		}
	}()
	return out, nil
}

// nextVersion waits for a version of the job other than the given one. It retries after an error, since the owner may
// be changing.
func (r *Router) nextVersion(ctx context.Context, id ident.JobID, version uint64) (lifecycle.JobView, bool) {
	for ctx.Err() == nil {
		v, err := r.waitFor(ctx, id, version)
		switch {
		case err == nil && v.Version != version:
			return v, true
		case err != nil && verdict.FromError(err).Code == verdict.CodeNotFound:
			return v, false
		case err != nil && sleep.For(ctx, time.Second) != nil:
			return v, false
		}
	}
	return lifecycle.JobView{}, false
}

func (r *Router) waitFor(ctx context.Context, id ident.JobID, version uint64) (lifecycle.JobView, error) {
	address, local, err := r.owner(id.Cell)
	if err != nil {
		return lifecycle.JobView{}, err
	}
	if local {
		return r.local.WaitFor(ctx, id, 0, 0, version, watchWait)
	}
	return r.peer.Get(ctx, address, id, 0, 0, version, watchWait)
}

// WaitFor returns a job with at most tasks of its tasks, starting at index from, once its version differs from
// version, or after limit.
func (s *Service) WaitFor(ctx context.Context, id ident.JobID, from, tasks int, version uint64, limit time.Duration) (lifecycle.JobView, error) {
	watchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	updates, err := s.Watch(watchCtx, id)
	if err != nil {
		return lifecycle.JobView{}, err
	}
	for v := range updates {
		if v.Version != version {
			break
		}
	}
	return s.Get(ctx, id, from, tasks)
}
