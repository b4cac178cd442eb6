package ledger

import (
	"errors"
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

var (
	issuer      = ident.Instance{Host: "relay-1", Incarnation: 7}
	start       = time.UnixMilli(1_700_000_000_000)
	ampleLimits = Limits{Retention: DefaultRetention, Records: 1000, Bytes: 1 << 20}
)

// TestMain fixes the seed of the generated tests, so that every run gives the same result; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func issue(t require.TestingT, l *Ledger, now time.Time, n byte) Key {
	k, err := l.Issue(now, [16]byte{n})
	require.NoError(t, err)
	parsed, err := ParseKey(k.String())
	require.NoError(t, err)
	require.Equal(t, k, parsed)
	return parsed
}

// Guards against concurrent repeats under one key running more than once.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	l := New(issuer, ampleLimits)
	key := issue(t, l, start, 1)
	want := request.Answer{Status: 200, Body: []byte("answer")}
	var runs atomic.Int32
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for {
				c := l.Begin(start, key, 1)
				switch c.Action {
				case Run:
					runs.Add(1)
					l.Finish(key, want, nil)
					return
				case Wait:
					<-c.Settled
				default:
					if c.Action != Replay || string(c.Answer.Body) != "answer" {
						t.Errorf("got %+v", c)
					}
					return
				}
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a request that may have run being run again, and against a repeat being refused although the request
// did not run.
func TestRepeatAfterEachOutcome(t *testing.T) {
	l := New(issuer, ampleLimits)
	lost := issue(t, l, start, 1)
	require.Equal(t, Run, l.Begin(start, lost, 1).Action)
	l.Finish(lost, request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "connection reset"))
	c := l.Begin(start, lost, 1)
	require.Equal(t, Refuse, c.Action)
	require.Equal(t, verdict.MayHaveRun, c.Err.Verdict)

	l.Finish(lost, request.Answer{Status: 200}, nil)
	require.Equal(t, Replay, l.Begin(start, lost, 1).Action, "a repeat gets the late answer")

	refused := issue(t, l, start, 2)
	require.Equal(t, Run, l.Begin(start, refused, 1).Action)
	l.Finish(refused, request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeLimited, "no slot"))
	require.Equal(t, Run, l.Begin(start, refused, 1).Action)
}

// Guards against one key being used for two different requests.
func TestKeyWithOtherContentIsRefused(t *testing.T) {
	l := New(issuer, ampleLimits)
	key := issue(t, l, start, 1)
	l.Begin(start, key, 1)
	c := l.Begin(start, key, 2)
	require.Equal(t, verdict.CodeConflict, c.Err.Code)
	require.Equal(t, verdict.NotRun, c.Err.Verdict)
}

// Guards against a second run under an expired key whose record has been removed.
func TestExpiredKeyIsNotRunAgain(t *testing.T) {
	for _, retention := range []time.Duration{time.Minute, DefaultRetention, 30 * DefaultRetention} {
		l := New(issuer, Limits{Retention: retention, Records: 1000, Bytes: 1 << 20})
		key := issue(t, l, start, 1)
		l.Begin(start, key, 1)
		l.Finish(key, request.Answer{Status: 200}, nil)
		for _, age := range []time.Duration{retention, retention + MaxClockSkew/2, retention + 2*MaxClockSkew} {
			l.Expire(start.Add(age))
			c := l.Begin(start.Add(age), key, 1)
			require.NotEqual(t, Run, c.Action, age)
		}
		records, bytes := l.Usage()
		require.Zero(t, records)
		require.Zero(t, bytes)
	}
}

// Guards against a key being accepted at the end of its retention although its record has been removed, on the host
// itself and on a successor whose clock is behind by MaxClockSkew, and against records that are never removed.
func TestRecordOutlivesItsKey(t *testing.T) {
	const retention = time.Hour
	limits := Limits{Retention: retention, Records: 1000, Bytes: 1 << 20}
	l := New(issuer, limits)
	used, unused := issue(t, l, start, 1), issue(t, l, start, 2)
	l.Begin(start, used, 1)
	l.Finish(used, request.Answer{Status: 200}, nil)
	last := start.Add(retention)
	require.Equal(t, Run, l.Begin(last, unused, 1).Action, "a key is accepted up to the end of its retention")
	l.Finish(unused, request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeLimited, "no slot"))
	require.Equal(t, verdict.MayHaveRun, l.Begin(last.Add(time.Nanosecond), unused, 1).Err.Verdict)

	require.Zero(t, l.Expire(last.Add(MaxClockSkew)), "a host whose clock is behind may still accept the key")
	l.Close()
	records, err := l.Export()
	require.NoError(t, err)
	successor, err := Import(issuer, limits, retention, records)
	require.NoError(t, err)
	require.Equal(t, Replay, successor.Begin(last, used, 1).Action)
	require.Equal(t, 1, successor.Expire(last.Add(MaxClockSkew+time.Millisecond)))
	require.Equal(t, verdict.MayHaveRun, successor.Begin(last.Add(MaxClockSkew), used, 1).Err.Verdict)
}

// Guards against a key of another instance, or one issued in the future, being run.
func TestForeignAndFutureKeysAreRefused(t *testing.T) {
	other := New(ident.Instance{Host: "relay-1", Incarnation: 8}, ampleLimits)
	l := New(issuer, ampleLimits)
	c := l.Begin(start, issue(t, other, start, 1), 1)
	require.Equal(t, verdict.MayHaveRun, c.Err.Verdict)
	c = l.Begin(start, issue(t, l, start.Add(time.Hour), 1), 1)
	require.Equal(t, verdict.CodeInvalid, c.Err.Code)
}

// Guards against a full ledger dropping records, or accepting requests that it cannot record.
func TestFullLedgerRefusesNewKeys(t *testing.T) {
	l := New(issuer, Limits{Retention: DefaultRetention, Records: 2, Bytes: 1 << 20})
	first := issue(t, l, start, 1)
	l.Begin(start, first, 1)
	l.Finish(first, request.Answer{Status: 201}, nil)
	l.Begin(start, issue(t, l, start, 2), 1)
	c := l.Begin(start, issue(t, l, start, 3), 1)
	require.Equal(t, verdict.NotRun, c.Err.Verdict)
	require.Equal(t, Replay, l.Begin(start, first, 1).Action)
	records, _ := l.Usage()
	require.EqualValues(t, 2, records, "a refusal must free its reservation")
}

// Guards against a second run of a request whose answer does not fit in the memory bound.
func TestOversizedAnswerDoesNotAllowSecondRun(t *testing.T) {
	l := New(issuer, Limits{Retention: DefaultRetention, Records: 10, Bytes: 2000})
	key := issue(t, l, start, 1)
	l.Begin(start, key, 1)
	l.Finish(key, request.Answer{Body: make([]byte, 4000)}, nil)
	c := l.Begin(start, key, 1)
	require.Equal(t, verdict.Ran, c.Err.Verdict)
}

// Guards against a hand-over that loses a record, or after which both hosts can run a key.
func TestHandOver(t *testing.T) {
	l := New(issuer, ampleLimits)
	ran, running, unused := issue(t, l, start, 1), issue(t, l, start, 2), issue(t, l, start, 3)
	l.Begin(start, ran, 1)
	l.Finish(ran, request.Answer{Status: 200, Body: []byte("x")}, nil)
	l.Begin(start, running, 1)
	_, err := l.Export()
	require.Error(t, err, "an open ledger has no complete export")
	l.Close()
	require.Equal(t, verdict.NotRun, l.Begin(start, unused, 1).Err.Verdict)
	records, err := l.Export()
	require.NoError(t, err)

	successor := NewSet(New(ident.Instance{Host: "relay-2", Incarnation: 1}, ampleLimits))
	adopted, err := Import(issuer, ampleLimits, ampleLimits.Retention, records)
	require.NoError(t, err)
	for _, other := range []time.Duration{ampleLimits.Retention - time.Millisecond, ampleLimits.Retention + time.Millisecond} {
		_, err = Import(issuer, ampleLimits, other, records)
		require.Error(t, err, "one host would drop records whose keys the other still accepts")
	}
	require.NoError(t, successor.Adopt(adopted))
	require.Error(t, successor.Adopt(adopted), "a second hand-over would discard the runs since the first")
	got, ok := successor.ForIssuer(issuer)
	require.True(t, ok)
	require.Equal(t, Replay, got.Begin(start, ran, 1).Action)
	require.Equal(t, verdict.MayHaveRun, got.Begin(start, running, 1).Err.Verdict)
	require.Equal(t, Run, got.Begin(start, unused, 1).Action)
}

// Guards against a request running twice in any order of attempts, lost answers, hand-overs and expiry. The model
// counts the runs that took effect, which excludes those that ended with NotRun.
func TestKeyRunsAtMostOnceInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		l := New(issuer, Limits{Retention: DefaultRetention, Records: 4, Bytes: 1 << 16})
		keys := make([]Key, 3)
		effects := make(map[string]int)
		runInProgress := make(map[string]bool)
		for i := range keys {
			keys[i] = issue(t, l, now, byte(i))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				if c := l.Begin(now, key, 1); c.Action == Run {
					require.False(t, runInProgress[key.String()])
					runInProgress[key.String()] = true
				}
			case 2:
				if !runInProgress[key.String()] {
					continue
				}
				runInProgress[key.String()] = false
				switch rapid.IntRange(0, 2).Draw(t, "outcome") {
				case 0:
					effects[key.String()]++
					l.Finish(key, request.Answer{Status: 200}, nil)
				case 1:
					effects[key.String()]++
					l.Finish(key, request.Answer{}, verdict.FromError(errors.New("lost")))
				default:
					l.Finish(key, request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeLimited, "refused"))
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, int(13*time.Hour)).Draw(t, "pause")))
				l.Expire(now)
			case 4:
				l.Close()
				records, err := l.Export()
				require.NoError(t, err)
				for k, running := range runInProgress {
					if running {
						effects[k]++ // the run continues on the old host and may take effect
						runInProgress[k] = false
					}
				}
				l, err = Import(issuer, Limits{Retention: DefaultRetention, Records: 4, Bytes: 1 << 16}, DefaultRetention, records)
				require.NoError(t, err)
			}
			for k, n := range effects {
				require.LessOrEqual(t, n, 1, k)
			}
		}
	})
}
