// Package ledger keeps the record of each idempotency key, so that a request runs at most once under its key.
//
// A key is accepted only by the ledger of the instance that issued it, or by the one ledger that took it over
// completely. No other host ever runs the key, so the promise needs neither a store nor agreement on time: a paused or
// partitioned host cannot have a rival.
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
	// MaxClockSkew bounds the difference between the clock that issued a key and the one that checks its age after
	// a hand-over. Records are kept this much longer than their keys are accepted.
	MaxClockSkew = 10 * time.Minute

	shardCount = 64
	// recordOverhead is the memory of a record without its answer, in bytes: key text, map entry and channel.
	recordOverhead = 512
)

// Limits bounds the memory of a ledger.
type Limits struct {
	// Retention is how long after its issue a key may be used. It must be the same wherever a ledger may be handed over
	// to: a host that accepts keys for longer would run one whose record an earlier host has dropped.
	Retention time.Duration
	// Records is the largest number of records.
	Records int64
	// Bytes is the largest size of all records with their answers.
	Bytes int64
}

// Ledger holds the records of one issuer. Its records are in shards by key; the totals are atomic.
type Ledger struct {
	issuer  ident.Instance
	limits  Limits
	records *shard.Map[string, *record]
	count   atomic.Int64
	bytes   atomic.Int64
	closed  atomic.Bool
}

type state uint8

const (
	inProgress state = iota
	done
	unknown
)

type record struct {
	fingerprint uint64
	state       state
	issuedAt    time.Time
	answer      request.Answer
	// answerKept is false if the answer did not fit in the memory bound.
	answerKept bool
	err        *verdict.Error
	// settled ends when the state leaves inProgress for the first time, and is nil from then on.
	settled *settlement
	size    int64
}

// settlement tells the repeats that wait for a run how it ended.
type settlement struct {
	done chan struct{}
	// refused is set before done is closed if the request was not run, and does not change afterwards.
	refused *verdict.Error
}

// New returns an empty ledger for the keys of issuer.
func New(issuer ident.Instance, limits Limits) *Ledger {
	return &Ledger{issuer: issuer, limits: limits, records: shard.NewStringMap[string, *record](shardCount)}
}

// Issuer returns the instance whose keys the ledger accepts.
func (l *Ledger) Issuer() ident.Instance {
	return l.issuer
}

// Issue returns a new key. random must come from a cryptographic source, so that callers cannot guess each other's keys.
func (l *Ledger) Issue(now time.Time, random [16]byte) (Key, error) {
	if l.closed.Load() {
		return Key{}, errClosed()
	}
	return newKey(l.issuer, now, random), nil
}

// Retention returns how long after its issue a key may be used.
func (l *Ledger) Retention() time.Duration {
	return l.limits.Retention
}

// Action says what the caller of Begin has to do.
type Action uint8

const (
	// Refuse means that the request must not run; Claim.Err says why.
	Refuse Action = iota
	// Run means that the caller must run the request and call Finish.
	Run
	// Wait means that the request is in progress; the caller waits for Claim.Settled. It answers with Claim.Refused if
	// that is set then, and calls Begin again if it is not.
	Wait
	// Replay means that Claim.Answer is the answer of the earlier run.
	Replay
)

// Claim is the answer of Begin.
type Claim struct {
	Action  Action
	Answer  request.Answer
	Err     *verdict.Error
	Settled <-chan struct{}

	settlement *settlement
}

// Refused returns the error of the run that a Wait claim waited for, if that run ended with NotRun; nil otherwise. It
// must be called after Settled is closed. A repeat that waited must not run then: the caller of the run that ended is
// told "not run" at this moment, which a run by the repeat would make false.
func (c Claim) Refused() *verdict.Error {
	return c.settlement.refused
}

// Begin claims the run of key. Exactly one caller gets Run until Finish reports that the request was not run.
// fingerprint is a hash of the request's content.
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

// admit decides whether a key without a record may run. It reserves the memory of the record.
func (l *Ledger) admit(now time.Time, key Key) *verdict.Error {
	if key.Issuer != l.issuer {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "the key belongs to %s, not to %s", key.Issuer, l.issuer)
	}
	age := now.Sub(key.IssuedAt)
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
	// Close may have come between the first check and the reservation. Export reads after Close under the shard
	// lock that the caller holds, so a second check here leaves no record that an export misses.
	if l.closed.Load() {
		l.release(recordOverhead)
		return errClosed()
	}
	return nil
}

func (l *Ledger) release(size int64) {
	l.count.Add(-1)
	l.bytes.Add(-size)
}

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
// arrives after a MayHaveRun outcome of the same run replaces it.
func (l *Ledger) Finish(key Key, answer request.Answer, err *verdict.Error) {
	l.records.WithShard(key.text, func(entries map[string]*record) {
		r, ok := entries[key.text]
		if !ok || r.state == done {
			return
		}
		first := r.state == inProgress
		switch {
		case err == nil:
			l.keepAnswer(r, answer)
		case err.Verdict == verdict.NotRun && first:
			r.settled.refused = err
			delete(entries, key.text)
			l.release(r.size)
		case err.Verdict == verdict.Ran:
			r.state = done
		default:
			r.state = unknown
			r.err = err
		}
		if first {
			close(r.settled.done)
			r.settled = nil
		}
	})
}

// keepAnswer marks the record done and keeps the answer if it fits. The fact that the request ran is always kept.
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
