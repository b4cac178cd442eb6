package evacuations

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

const (
	answerTime    = 4 * time.Millisecond
	fakeWatchTime = 1500 * time.Millisecond
)

var errDown = errors.New("store unavailable")

// fakeStore is a store whose watches end after fakeWatchTime.
type fakeStore struct {
	mu       sync.Mutex
	revision store.Revision
	requests map[ident.DataCentre]store.Revision
	faulty   []Ignored
	changed  chan struct{}
	// down makes every call fail, silent makes it wait for its context.
	down, silent bool
	// panics makes the next call of List panic.
	panics bool
	// delay is added to each answer.
	delay    time.Duration
	lists    int
	returned chan struct{}
}

func (s *fakeStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) request(dc ident.DataCentre) {
	s.change(func() { s.requests[dc] = s.revision + 1 })
}

func (s *fakeStore) withdraw(dc ident.DataCentre) {
	s.change(func() { delete(s.requests, dc) })
}

// answer takes the time of an answer, and fails if the store does.
func (s *fakeStore) answer(ctx context.Context) error {
	s.mu.Lock()
	down, silent, delay := s.down, s.silent, s.delay
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(answerTime + delay)
	if down {
		return errDown
	}
	return ctx.Err()
}

func (s *fakeStore) List(ctx context.Context) (Listing, error) {
	if err := s.answer(ctx); err != nil {
		return Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.panics {
		s.panics = false
		panic("an answer that the source cannot read")
	}
	l := Listing{Revision: s.revision, Unreadable: s.faulty}
	for dc, revision := range s.requests {
		l.Requests = append(l.Requests, evacuation.Request{DataCentre: dc, Revision: revision})
	}
	return l, nil
}

func (s *fakeStore) Wait(ctx context.Context, after store.Revision) (bool, store.Revision, error) {
	if err := s.answer(ctx); err != nil {
		return false, 0, err
	}
	s.mu.Lock()
	changed, revision := s.changed, s.revision
	s.mu.Unlock()
	if revision > after {
		return true, revision, nil
	}
	select {
	case <-changed:
		return true, after + 1, nil
	case <-time.After(fakeWatchTime):
		return false, revision, nil
	case <-ctx.Done():
		return false, 0, ctx.Err()
	}
}

func (s *fakeStore) Returned() <-chan struct{} { return s.returned }

func discardLog() logrus.FieldLogger {
	log, _ := logtest.NewNullLogger()
	return log
}

// fixture runs a follower in a synctest bubble.
type fixture struct {
	store  *fakeStore
	raised chan struct{}
	needed atomic.Bool
	// mu guards what the follower has reported.
	mu      sync.Mutex
	sets    []evacuation.Set
	ignored []Ignored
}

func run(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			store: &fakeStore{
				revision: 1, requests: make(map[ident.DataCentre]store.Revision), changed: make(chan struct{}), returned: make(chan struct{}, 1),
			},
			raised: make(chan struct{}, 1),
		}
		f.needed.Store(true)
		follower := NewFollower(Config{
			Source: f.store,
			Demand: hostlist.DemandSource{Current: func() hostlist.Demand { return hostlist.Demand{Needed: f.needed.Load()} }, Raised: f.raised},
			Known:  func(dc ident.DataCentre) bool { return dc == "nelson" || dc == "picton" },
			Bound:  5 * time.Second, Now: time.Now,
			Changed: func(s evacuation.Set) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.sets = append(f.sets, s)
			},
			Ignored: func(i Ignored) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.ignored = append(f.ignored, i)
			},
			Log: discardLog(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			follower.Run(ctx)
		}()
		test(t, f)
		cancel()
		<-ended
	})
}

// after lets time pass and returns the set that was passed on last.
func (f *fixture) after(d time.Duration) evacuation.Set {
	time.Sleep(d)
	synctest.Wait()
	if sets := f.passedOn(); len(sets) > 0 {
		return sets[len(sets)-1]
	}
	return evacuation.Set{}
}

// passedOn returns the sets that were passed on.
func (f *fixture) passedOn() []evacuation.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sets)
}

func (f *fixture) ignoredEntries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ignored)
}

// lists returns how often the requests were read.
func (f *fixture) lists() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.lists
}

// Guards against a request that is noticed only when a watch ends, or later.
func TestRequestIsPassedOnAtOnce(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		require.True(t, f.after(100*time.Millisecond).Current())
		f.store.request("nelson")
		s := f.after(3 * answerTime)
		require.True(t, s.Current())
		require.True(t, s.Contains("nelson"))
		f.store.withdraw("nelson")
		require.False(t, f.after(minReadInterval+3*answerTime).Contains("nelson"))
	})
}

// Guards against a set in force that none or several of many quick changes have reached.
func TestRequestAndWithdrawalInQuickSuccession(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		for range 50 {
			f.store.request("nelson")
			time.Sleep(time.Millisecond)
			f.store.withdraw("nelson")
			f.store.request("picton")
		}
		s := f.after(minReadInterval + 5*answerTime)
		require.Less(t, f.lists(), 10)
		require.False(t, s.Contains("nelson"))
		require.True(t, s.Contains("picton"))
	})
}

// Guards against starts between the return of the store and the next read: requests that were made meanwhile would not
// apply to them.
func TestStoreReturnIsFollowedByARead(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		f.store.returned <- struct{}{}
		require.False(t, f.after(answerTime/2).Current(), "no start before the read")
		require.True(t, f.after(2*answerTime).Current())
	})
}

// Guards against starts after an interrupted watch, whose changes may be missed.
func TestInterruptedWatchIsFollowedByARead(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		f.store.mu.Lock()
		f.store.down = true
		f.store.mu.Unlock()
		f.after(fakeWatchTime + answerTime)
		stale, released := false, false
		for _, s := range f.passedOn() {
			stale = stale || s.Known() && !s.Current()
			released = stale && s.Current()
		}
		require.True(t, stale)
		require.True(t, released)
	})
}

// Guards against an owner that stops to start tasks for as long as the store is down, or that forgets which workers are
// evacuated.
func TestFailedReadLeavesLastSetInForce(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.store.request("nelson")
		f.after(100 * time.Millisecond)
		f.store.mu.Lock()
		f.store.silent = true
		f.store.mu.Unlock()
		f.store.returned <- struct{}{}
		require.False(t, f.after(400*time.Millisecond).Current())
		s := f.after(101 * time.Millisecond)
		require.True(t, s.Current(), "the read has failed")
		require.True(t, s.Contains("nelson"))
		f.store.mu.Lock()
		f.store.silent = false
		f.store.mu.Unlock()
		f.store.withdraw("nelson")
		require.False(t, f.after(2*time.Second).Contains("nelson"))
	})
}

// Guards against an answer that ends the process, or the following of the requests.
func TestPanicOfAReadIsAFailure(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		f.store.mu.Lock()
		f.store.panics = true
		f.store.mu.Unlock()
		f.store.request("nelson")
		require.True(t, f.after(time.Second).Contains("nelson"))
		require.True(t, f.after(0).Current())
	})
}

// Guards against a host with a slow path to the store that never learns of a request, because each read takes longer than
// starts may wait for it.
func TestSlowReadIsUsed(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		f.store.mu.Lock()
		f.store.delay = 900 * time.Millisecond
		f.store.mu.Unlock()
		f.store.request("nelson")
		f.store.returned <- struct{}{}
		require.False(t, f.after(400*time.Millisecond).Current())
		require.True(t, f.after(200*time.Millisecond).Current())
		require.True(t, f.after(time.Second).Contains("nelson"))
	})
}

// Guards against an owner that has just taken over and waits for the end of a watch until it may start tasks.
func TestRaisedDemandReadsAgain(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		at := time.Now()
		f.raised <- struct{}{}
		require.False(t, f.after(answerTime/2).Current())
		require.True(t, f.after(2*answerTime).ReadSince(at).Current())
	})
}

// Guards against requests that are read by hosts that do not need them: 40 hosts would use up the call budget of the
// store.
func TestNothingIsReadWithoutDemand(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(100 * time.Millisecond)
		f.needed.Store(false)
		f.after(2 * fakeWatchTime)
		before := f.lists()
		f.after(time.Minute)
		require.Equal(t, before, f.lists())
	})
}

// Guards against a read after each watch, which would double the calls.
func TestQuietStoreIsReadOnce(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.after(time.Minute)
		require.Equal(t, 1, f.lists())
		require.Len(t, f.passedOn(), 1)
	})
}

// Guards against a request for a data centre that does not exist, or a key that cannot be read, that hides other requests
// or is reported with each read.
func TestUnknownDataCentreIsIgnored(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.store.faulty = []Ignored{{Reason: "key"}}
		f.store.request("nowhere")
		f.store.request("picton")
		s := f.after(100 * time.Millisecond)
		require.Len(t, s.Requests(), 1)
		require.True(t, s.Contains("picton"))
		require.Equal(t, 2, f.ignoredEntries())
		f.store.withdraw("picton")
		f.after(100 * time.Millisecond)
		require.Equal(t, 2, f.ignoredEntries())
	})
}
