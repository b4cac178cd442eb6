// Package ledger keeps the record of each idempotency key, so that a request runs at most once under its key.
//
// A key is accepted only by the ledger of the instance that issued it, or by the one ledger that took over all of its
// records. No other host ever runs a request under the key. The guarantee therefore needs neither a store nor agreement
// on time: no second host can run the key while the first one is paused or partitioned.
package ledger

import (
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// DefaultRetention is the default of Limits.Retention.
	DefaultRetention = 24 * time.Hour
	// MaxClockSkew bounds the difference between the clock that issued a key and the clock that checks its age after a
	// hand-over. Records are kept this much longer than their keys are accepted.
	MaxClockSkew = 10 * time.Minute

	recordShards = 64
	// recordOverhead is the memory of a record without its answer, in bytes: text of the key, map entry and channel.
	recordOverhead = 512
)

// Limits bounds the memory of a ledger.
type Limits struct {
	// Retention is how long after its issue a key may be used. All hosts between which ledgers are handed over must have
	// the same one: a host with a longer retention would run a key whose record an earlier host has dropped.
	Retention time.Duration
	// Records bounds the number of records.
	Records int64
	// Bytes bounds the size of all records with their answers.
	Bytes int64
}

// Ledger holds the records of one issuer. The records are in shards by key. It is safe for concurrent use.
type Ledger struct {
	issuer  ident.Instance
	limits  Limits
	records *shard.Map[string, *record]
	count   atomic.Int64
	bytes   atomic.Int64
	closed  atomic.Bool
	// clock gives the issue times and the ages of keys.
	clock clock
}

// state is the state of the run of a key.
type state uint8

const (
	inProgress state = iota
	// done means that the request ran.
	done
	// unknown means that the request may have run.
	unknown
)

// record is what the ledger knows of the request of one key.
type record struct {
	fingerprint uint64
	state       state
	issuedAt    time.Time
	answer      request.Answer
	// answerKept is false if the answer did not fit in the memory bound.
	answerKept bool
	// err is the answer to repeats in the state unknown.
	err *verdict.Error
	// settled is set while the state is inProgress, and nil afterwards.
	settled *settlement
	// size is the memory of the record in bytes.
	size int64
}

// settlement informs the repeats that wait for a run of its end.
type settlement struct {
	done chan struct{}
	// refused is set before done is closed if the run ended with NotRun, and does not change afterwards.
	refused *verdict.Error
}

// New returns an empty ledger for the keys of issuer.
func New(issuer ident.Instance, limits Limits) *Ledger {
	return &Ledger{issuer: issuer, limits: limits, records: shard.NewStringMap[string, *record](recordShards)}
}

// Issuer returns the instance whose keys the ledger accepts.
func (l *Ledger) Issuer() ident.Instance {
	return l.issuer
}

// Issue returns a new key. random must come from a cryptographic source, so that callers cannot guess each other's
// keys. It fails if the ledger is closed.
func (l *Ledger) Issue(now time.Time, random [16]byte) (Key, error) {
	if l.closed.Load() {
		return Key{}, errClosed()
	}
	return newKey(l.issuer, l.clock.at(now), random), nil
}

// Retention returns how long after its issue a key may be used.
func (l *Ledger) Retention() time.Duration {
	return l.limits.Retention
}

// Action is what the caller of Begin has to do.
type Action uint8

const (
	// Refuse means that the request must not run; Claim.Err says why.
	Refuse Action = iota
	// Run means that the caller must run the request and call Finish.
	Run
	// Wait means that the request is in progress; the caller waits until Claim.Settled is closed. It then answers with
	// the error of Claim.Refused or, if that is nil, calls Begin again.
	Wait
	// Replay means that Claim.Answer is the answer of the earlier run.
	Replay
)

// Claim is the result of Begin.
type Claim struct {
	Action  Action
	Answer  request.Answer
	Err     *verdict.Error
	Settled <-chan struct{}

	settlement *settlement
}

// Refused returns the error of the run for which a Wait claim waited, if that run ended with NotRun; nil otherwise. It
// must be called after Settled is closed. The repeat that waited must not run in this case: the caller of the first run
// is being told that the request did not run, and a run by the repeat would make that false.
func (c Claim) Refused() *verdict.Error {
	return c.settlement.refused
}

// Begin claims the run of the request under key. Only one caller gets Run, unless Finish reports that the request did
// not run. fingerprint is a hash of the content of the request; a repeat with another one is refused.
func (l *Ledger) Begin(now time.Time, key Key, fingerprint uint64) Claim {
	var claim Claim
	l.records.WithShard(key.text, func(entries map[string]*record) {
		r, ok := entries[key.text]
		if ok {
			claim = r.claim(fingerprint)
			return
		}
		if err := l.admit(now, key); err != nil {
			claim = Claim{Err: err}
			return
		}
		r = &record{
			fingerprint: fingerprint,
			issuedAt:    key.IssuedAt,
			settled:     &settlement{done: make(chan struct{})},
			size:        recordOverhead,
		}
		entries[key.text] = r
		claim = Claim{Action: Run}
	})
	return claim
}

// admit returns an error if a key without a record must not run. Otherwise, it reserves the memory of the record.
func (l *Ledger) admit(now time.Time, key Key) *verdict.Error {
	if key.Issuer != l.issuer {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "the key belongs to %s, not to %s", key.Issuer, l.issuer)
	}
	age := l.clock.at(now).Sub(key.IssuedAt)
	if age > l.limits.Retention {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "the key expired %s after its issue", l.limits.Retention)
	}
	if age < -MaxClockSkew {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "the key claims to be issued in the future")
	}
	if l.closed.Load() {
		return errClosed()
	}
	count, bytes := l.count.Add(1), l.bytes.Add(recordOverhead)
	if count > l.limits.Records || bytes > l.limits.Bytes {
		l.release(recordOverhead)
		return verdict.New(verdict.NotRun, verdict.CodeLimited, "the ledger is full").WithRetryAfter(time.Second)
	}
	// Close may have been called between the first check and the reservation. Export reads the shard after Close and
	// under the lock that the caller of admit holds, so that this second check leaves no record that an export misses.
	if l.closed.Load() {
		l.release(recordOverhead)
		return errClosed()
	}
	return nil
}

// release frees the reservation of one record of the given size in bytes.
func (l *Ledger) release(size int64) {
	l.count.Add(-1)
	l.bytes.Add(-size)
}

// claim returns the claim of a repeat of the request.
func (r *record) claim(fingerprint uint64) Claim {
	if r.fingerprint != fingerprint {
		return Claim{Err: verdict.New(verdict.NotRun, verdict.CodeConflict, "the key was used for a different request")}
	}
	switch r.state {
	case inProgress:
		return Claim{Action: Wait, Settled: r.settled.done, settlement: r.settled}
	case done:
		if !r.answerKept {
			return Claim{Err: verdict.New(verdict.Ran, verdict.CodeIncomplete, "the request ran; its answer was too large to keep")}
		}
		return Claim{Action: Replay, Answer: r.answer}
	default:
		return Claim{Err: r.err}
	}
}

// Finish records the outcome of a run. A NotRun error removes the record, so that a repeat may run. An answer that
// arrives after the run was recorded as MayHaveRun replaces that outcome.
func (l *Ledger) Finish(key Key, answer request.Answer, err *verdict.Error) {
	l.records.WithShard(key.text, func(entries map[string]*record) {
		r, ok := entries[key.text]
		if !ok || r.state == done {
			return
		}
		firstOutcome := r.state == inProgress
		switch {
		case err == nil:
			l.keepAnswer(r, answer)
		case err.Verdict == verdict.NotRun && firstOutcome:
			r.settled.refused = err
			delete(entries, key.text)
			l.release(r.size)
		case err.Verdict == verdict.Ran:
			r.state = done
		default:
			r.state = unknown
			r.err = err
		}
		if firstOutcome {
			close(r.settled.done)
			r.settled = nil
		}
	})
}

// keepAnswer marks the record done and stores the answer if it fits in the memory bound.
func (l *Ledger) keepAnswer(r *record, answer request.Answer) {
	r.state = done
	r.err = nil
	size := answerSize(answer)
	if l.bytes.Add(size) > l.limits.Bytes {
		l.bytes.Add(-size)
		return
	}
	r.size += size
	r.answer = answer
	r.answerKept = true
}

func answerSize(a request.Answer) int64 {
	size := int64(len(a.Body) + len(a.Target))
	for _, h := range a.Headers {
		size += int64(len(h.Name) + len(h.Value))
	}
	return size
}

// Expire removes the records whose keys are no longer accepted and returns their number. A run in progress stays.
func (l *Ledger) Expire(now time.Time) int {
	removed := 0
	now = l.clock.at(now)
	l.records.ForEachShard(func(entries map[string]*record) {
		for text, r := range entries {
			if r.state == inProgress || now.Sub(r.issuedAt) <= l.limits.Retention+MaxClockSkew {
				continue
			}
			delete(entries, text)
			l.release(r.size)
			removed++
		}
	})
	return removed
}

// Usage returns the number of records and their size in bytes.
func (l *Ledger) Usage() (records, bytes int64) {
	return l.count.Load(), l.bytes.Load()
}

func errClosed() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the ledger is being handed over").WithRetryAfter(time.Second)
}
