package ledger

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Record is the record of one key as it is handed over.
type Record struct {
	Key         string
	Fingerprint uint64
	// Ran is set if the request ran. If it is not set, the request may have run.
	Ran bool
	// AnswerKept is set if Answer holds the answer of the run.
	AnswerKept bool
	Answer     request.Answer
}

// Close makes the ledger refuse new keys for good. Existing records still answer repeats.
func (l *Ledger) Close() {
	l.closed.Store(true)
}

// Export returns all records of a closed ledger; it fails if the ledger is open. A run in progress is exported as "may
// have run", because its outcome can no longer reach the successor. The records are complete: an unexpired key of this
// issuer without a record has not run.
func (l *Ledger) Export() ([]Record, error) {
	if !l.closed.Load() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "export of a ledger that still accepts keys")
	}
	var out []Record
	l.records.ForEachShard(func(entries map[string]*record) {
		for text, r := range entries {
			out = append(out, Record{
				Key:         text,
				Fingerprint: r.fingerprint,
				Ran:         r.state == done,
				AnswerKept:  r.answerKept,
				Answer:      r.answer,
			})
		}
	})
	return out, nil
}

// Import returns a ledger for the keys of issuer with the complete records of its closed ledger, which accepted keys
// for the given retention. It fails if a record is malformed or if the retention differs from that of limits, because a
// ledger that lacks a record could run a request twice.
func Import(issuer ident.Instance, limits Limits, retention time.Duration, records []Record) (*Ledger, error) {
	if retention != limits.Retention {
		return nil, verdict.New(verdict.NotRun, verdict.CodeConflict,
			"%s accepts keys for %s, this host for %s", issuer, retention, limits.Retention)
	}
	l := New(issuer, limits)
	for _, exported := range records {
		key, err := ParseKey(exported.Key)
		if err != nil {
			return nil, err
		}
		if key.Issuer != issuer {
			return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "record of %s in the ledger of %s", key.Issuer, issuer)
		}
		l.restore(key, exported)
	}
	return l, nil
}

// restore adds a record even if it exceeds the limits, because dropping it would allow a second run.
func (l *Ledger) restore(key Key, exported Record) {
	r := &record{
		fingerprint: exported.Fingerprint,
		state:       unknown,
		issuedAt:    key.IssuedAt,
		size:        recordOverhead,
	}
	l.count.Add(1)
	l.bytes.Add(recordOverhead)
	switch {
	case exported.Ran && exported.AnswerKept:
		l.keepAnswer(r, exported.Answer)
	case exported.Ran:
		r.state = done
	default:
		r.err = verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "the outcome was not known when the ledger was handed over")
	}
	l.records.Set(key.text, r)
}

// Idle reports whether no run is in progress.
func (l *Ledger) Idle() bool {
	idle := true
	l.records.ForEachShard(func(entries map[string]*record) {
		for _, r := range entries {
			if r.state == inProgress {
				idle = false
				return
			}
		}
	})
	return idle
}

// Set holds the ledger of this instance and the ledgers that it took over from others.
type Set struct {
	own     *Ledger
	adopted *adoptedLedgers
}

// NewSet returns a set with the ledger of this instance.
func NewSet(own *Ledger) *Set {
	return &Set{own: own, adopted: newAdoptedLedgers()}
}

// Own returns the ledger of this instance.
func (s *Set) Own() *Ledger {
	return s.own
}

// ForIssuer returns the ledger that accepts the keys of issuer; false if there is none here.
func (s *Set) ForIssuer(issuer ident.Instance) (*Ledger, bool) {
	if issuer == s.own.Issuer() {
		return s.own, true
	}
	return s.adopted.Get(issuer)
}

// Adopt adds a ledger received from another host. It refuses a second ledger of the same issuer: the first one is
// complete, and further runs may have been recorded in it.
func (s *Set) Adopt(l *Ledger) error {
	alreadyAdopted := false
	s.adopted.WithShard(l.Issuer(), func(entries map[ident.Instance]*Ledger) {
		if _, ok := entries[l.Issuer()]; ok {
			alreadyAdopted = true
			return
		}
		entries[l.Issuer()] = l
	})
	if alreadyAdopted {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "the ledger of %s has already been taken over", l.Issuer())
	}
	return nil
}

// Adopted returns the ledgers received from other hosts.
func (s *Set) Adopted() []*Ledger {
	var out []*Ledger
	s.adopted.ForEachShard(func(entries map[ident.Instance]*Ledger) {
		for _, l := range entries {
			out = append(out, l)
		}
	})
	return out
}

// Expire removes the expired records of every ledger of the set and returns their number.
func (s *Set) Expire(now time.Time) int {
	removed := s.own.Expire(now)
	for _, l := range s.Adopted() {
		removed += l.Expire(now)
	}
	return removed
}
