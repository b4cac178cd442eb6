package jobs_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// link is how a call of the entry host to the owner ends.
type link uint8

const (
	// linkUp delivers calls and answers.
	linkUp link = iota
	// linkCut delivers no call, and the caller learns nothing.
	linkCut
	// linkLosesAnswers delivers calls and no answers.
	linkLosesAnswers
	// linkRefused fails at once with proof that the call was not sent.
	linkRefused
)

// entryHost is a host without a cell. Its router sends calls over a faulty link to the host that owns the cell.
type entryHost struct {
	*host
	jobs.Peer
	router *jobs.Router

	mu    sync.Mutex
	owner *host
	link  link
	// answerDelay is added to each answer of the owner.
	answerDelay time.Duration
}

// inboxScenario runs f on a cell whose deployment uses inboxes. The cell has no owner yet; entry is the host that callers
// use.
func inboxScenario(t *testing.T, workers int, f func(fx *fixture, entry *entryHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, workers)
		defer fx.close()
		f(fx, fx.entryHost(nil))
	})
}

// inboxHost returns a host that uses inboxes. Each host has its own client of the store.
func (fx *fixture) inboxHost(change func(cfg *jobs.Config)) *host {
	name := fmt.Sprintf("h%d", len(fx.hosts))
	return fx.hostWith(func(cfg *jobs.Config) {
		cfg.Store = smallTxnStore{cfg.Store, fx.t}
		cfg.DurableWait = 1500 * time.Millisecond
		cfg.StallLimit = 400 * time.Millisecond
		cfg.Inbox = jobs.InboxConfig{
			Store: fx.engine.Client(name), WritesPerSecond: 1000, MaxEntries: 100, MaxBytes: 1 << 20, Hosts: func() int { return 1 },
		}
		if change != nil {
			change(cfg)
		}
	})
}

// smallTxnStore fails the test at a transaction that the platform's store would refuse.
type smallTxnStore struct {
	jobs.Store
	t *testing.T
}

func (s smallTxnStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	assert.LessOrEqual(s.t, len(compares)+len(ops), 32)
	return s.Store.Txn(ctx, compares, ops)
}

func (fx *fixture) entryHost(change func(cfg *jobs.Config)) *entryHost {
	e := &entryHost{host: fx.inboxHost(change)}
	e.router = jobs.NewRouter(e.svc, e, e)
	return e
}

// ownerHost gives the cell to a new host and returns it.
func (fx *fixture) ownerHost(entry *entryHost) *host {
	h := fx.inboxHost(nil)
	fx.giveCell(h)
	entry.setOwner(h, linkUp)
	return h
}

// slowOwnerHost gives the cell to a new host whose calls to the store take d. It closes the inbox until 2d after the return of
// this function, and reads it until 3d after it.
func (fx *fixture) slowOwnerHost(entry *entryHost, d time.Duration) *host {
	h := fx.inboxHost(nil)
	h.setDelay(d)
	fx.giveCell(h)
	entry.setOwner(h, linkUp)
	return h
}

// claimCell gives the cell to a new host that does not work yet, as after the loss of an owner. The inbox is open until it does.
func (fx *fixture) claimCell() *host {
	h := fx.inboxHost(nil)
	fx.grantCell(h)
	return h
}

// takeOver lets a host that has claimed the cell begin to work.
func (fx *fixture) takeOver(h *host) {
	require.NoError(fx.t, h.svc.Acquire(bg, h.Grant(cell), fx.members()))
	h.svc.SetMembers(cell, fx.members())
}

// setDelay delays the calls of a host to the store.
func (h *host) setDelay(d time.Duration) {
	h.fixture.engine.Client(h.name).SetFault(kv.Fault{Delay: d})
}

func (e *entryHost) setOwner(h *host, l link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner, e.link = h, l
}

func (e *entryHost) setAnswerDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerDelay = d
}

func (e *entryHost) Cells() []ident.CellID { return []ident.CellID{cell} }

func (e *entryHost) Owner(ident.CellID) (string, bool, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return "peer", false, e.owner != nil
}

func (e *entryHost) Submit(ctx context.Context, _ string, c ident.CellID, s lifecycle.JobSpec) (ident.JobID, error) {
	e.mu.Lock()
	owner, l, delay := e.owner, e.link, e.answerDelay
	e.mu.Unlock()
	lost := verdict.Wrap(errors.New("connection reset"), verdict.MayHaveRun, verdict.CodeUnknown, "call to peer")
	switch l {
	case linkRefused:
		return ident.JobID{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connect to peer")
	case linkCut:
		<-ctx.Done()
		return ident.JobID{}, lost
	}
	id, err := owner.svc.Submit(ctx, c, s)
	if l == linkLosesAnswers {
		return ident.JobID{}, lost
	}
	select {
	case <-time.After(delay):
		return id, err
	case <-ctx.Done():
		return ident.JobID{}, lost
	}
}

// Get and Cancel end like a call over a cut link.
func (e *entryHost) Get(ctx context.Context, _ string, _ ident.JobID, _, _ int, _ uint64, _ time.Duration) (lifecycle.JobView, error) {
	<-ctx.Done()
	return lifecycle.JobView{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnknown, "call to peer")
}

func (e *entryHost) Cancel(ctx context.Context, _ string, _ ident.JobID) error {
	<-ctx.Done()
	return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnknown, "call to peer")
}

// place submits a job through the router within the time of a client's call, and requires that it is accepted.
func (e *entryHost) place(s lifecycle.JobSpec) ident.JobID {
	e.fixture.t.Helper()
	id, err := e.tryPlace(s)
	require.NoError(e.fixture.t, err)
	require.Equal(e.fixture.t, ident.CallerAssignedJobID(cell, s.ClientNumber), id)
	return id
}

func (e *entryHost) tryPlace(s lifecycle.JobSpec) (ident.JobID, error) {
	ctx, cancel := context.WithTimeout(bg, 2900*time.Millisecond)
	defer cancel()
	return e.router.Submit(ctx, s)
}

func inboxKeyOf(number uint64) string { return fmt.Sprintf("/cell/%d/inbox/%016x", cell, number) }

// inInbox reports whether the inbox holds the job with a number.
func (fx *fixture) inInbox(number uint64) bool {
	_, found, err := fx.engine.Get(bg, inboxKeyOf(number))
	require.NoError(fx.t, err)
	return found
}

// writeEntry writes an inbox entry as a host does whose write takes effect late.
func (fx *fixture) writeEntry(s lifecycle.JobSpec) {
	id := ident.CallerAssignedJobID(cell, s.ClientNumber)
	value, err := cellpb.Codec{}.EncodeBatch("late", []lifecycle.Record{lifecycle.JobAccepted{Job: id, Spec: s, At: time.Now()}})
	require.NoError(fx.t, err)
	fx.writeRawEntry(s.ClientNumber, value)
}

func (fx *fixture) writeRawEntry(number uint64, value []byte) {
	_, err := fx.engine.Txn(bg, nil, []store.Op{{Key: inboxKeyOf(number), Value: value}})
	require.NoError(fx.t, err)
}

// requireRanOnce checks that the jobs finish, that each of their tasks has run once, and that the inbox is empty.
func (fx *fixture) requireRanOnce(h *host, ids ...ident.JobID) {
	fx.t.Helper()
	time.Sleep(time.Second)
	h.awaitDone(time.Minute, ids...)
	time.Sleep(5 * time.Second)
	fx.verify(h, ids...)
	for _, id := range ids {
		require.False(fx.t, fx.inInbox(id.Seq), "job %v is still in the inbox", id)
		for _, task := range h.get(id).Tasks {
			require.Equal(fx.t, 1, fx.executions(task.Task), "task %v", task.Task)
		}
	}
}

// executions returns how many attempts of a task workers have run.
func (fx *fixture) executions(id ident.TaskID) int {
	n := 0
	for _, e := range fx.recorder.Executions() {
		if e.Task == id {
			n++
		}
	}
	return n
}

func requireVerdict(t *testing.T, want verdict.Verdict, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, verdict.FromError(err).Verdict, "%v", err)
}

func requireCode(t *testing.T, want verdict.Code, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, verdict.FromError(err).Code, "%v", err)
}
