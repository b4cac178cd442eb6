package speculation

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// minWinRate is the expected share of copies that win below which a copy is not worth its price: nine of ten would be
	// thrown away. Where copies are of use, about one in three wins, so that a run of losses by chance seldom reaches it.
	minWinRate = 0.1
	// probeInterval is how often a kind whose copies do not win gets one all the same, because the cause may pass.
	probeInterval = 30 * time.Second
	// priorCopies is the weight of what is expected of a kind without outcomes, in copies. priorWinRate is that of a class
	// without outcomes.
	priorCopies  = 8
	priorWinRate = 0.5
	// outcomesKept is the number of outcomes at which older ones lose half of their weight.
	outcomesKept = 64
	// maxKinds bounds the kinds, images and classes that are remembered.
	maxKinds = 1024
)

// outcomes counts the copies of a kind or class that have ended.
type outcomes struct {
	won, total float64
	// copiedAt is when a copy last started.
	copiedAt time.Time
}

func (o *outcomes) add(won bool) {
	if o.total >= outcomesKept {
		o.won, o.total = o.won/2, o.total/2
	}
	o.total++
	if won {
		o.won++
	}
}

// rate returns the expected share of copies that win.
func (o *outcomes) rate(prior float64) float64 {
	return (o.won + priorCopies*prior) / (o.total + priorCopies)
}

// Learner holds what is learnt about run times and copies.
type Learner struct {
	times   RunTimes
	kinds   *recent[Kind, outcomes]
	classes *recent[ident.ClassName, outcomes]
}

// NewLearner returns a Learner that has learnt nothing. With nil times it learns run times by itself.
func NewLearner(times RunTimes) *Learner {
	if times == nil {
		times = newSampledTimes()
	}
	return &Learner{times: times, kinds: newRecent[Kind, outcomes](maxKinds), classes: newRecent[ident.ClassName, outcomes](maxKinds)}
}

// TaskEnded notes the run time of an attempt that succeeded on or off the rack with the data of its task.
func (l *Learner) TaskEnded(k Kind, offRack bool, took time.Duration) {
	if took > 0 {
		l.times.Observe(k.key(offRack), took)
	}
}

// CopyStarted notes that a copy was started.
func (l *Learner) CopyStarted(now time.Time, k Kind) {
	l.kinds.get(k).copiedAt = now
}

// CopyEnded notes whether a copy won. Copies whose cause was the worker say nothing about the kind.
func (l *Learner) CopyEnded(k Kind, cause Cause, won bool) {
	if cause != CauseSlowTask {
		return
	}
	l.kinds.get(k).add(won)
	l.classes.get(k.Class).add(won)
}

// winRate returns the expected share of copies of a kind that win. A kind with few outcomes is taken to be like its class.
func (l *Learner) winRate(k Kind) float64 {
	prior := priorWinRate
	if class := l.classes.find(k.Class); class != nil {
		prior = class.rate(priorWinRate)
	}
	kind := l.kinds.find(k)
	if kind == nil {
		return prior
	}
	return kind.rate(prior)
}

// allows reports whether a slow task of a kind may get a copy: copies of it win often enough, or a probe is due.
func (l *Learner) allows(now time.Time, k Kind) bool {
	if l.winRate(k) >= minWinRate {
		return true
	}
	kind := l.kinds.find(k)
	return kind == nil || kind.copiedAt.IsZero() || now.Sub(kind.copiedAt) >= probeInterval
}

// limitProbes keeps one candidate of each kind that is only probed.
func (l *Learner) limitProbes(found []Candidate) []Candidate {
	probed := make(map[Kind]bool)
	kept := found[:0]
	for _, c := range found {
		if c.Cause == CauseSlowTask && l.winRate(c.Kind) < minWinRate {
			if probed[c.Kind] {
				continue
			}
			probed[c.Kind] = true
		}
		kept = append(kept, c)
	}
	return kept
}

// recent is a map of bounded size that forgets the entry that was changed longest ago.
type recent[K comparable, V any] struct {
	limit   int
	entries map[K]*recentEntry[V]
	changes uint64
}

type recentEntry[V any] struct {
	value     V
	changedAt uint64
}

func newRecent[K comparable, V any](limit int) *recent[K, V] {
	return &recent[K, V]{limit: limit, entries: make(map[K]*recentEntry[V])}
}

// find returns the entry of a key; nil if there is none.
func (m *recent[K, V]) find(k K) *V {
	if e, ok := m.entries[k]; ok {
		return &e.value
	}
	return nil
}

// get returns the entry of a key for a change, and creates it if needed.
func (m *recent[K, V]) get(k K) *V {
	m.changes++
	e, ok := m.entries[k]
	if !ok {
		if len(m.entries) >= m.limit {
			m.forgetOldest()
		}
		e = &recentEntry[V]{}
		m.entries[k] = e
	}
	e.changedAt = m.changes
	return &e.value
}

func (m *recent[K, V]) forgetOldest() {
	var oldest K
	at := m.changes
	for k, e := range m.entries {
		if e.changedAt < at {
			oldest, at = k, e.changedAt
		}
	}
	delete(m.entries, oldest)
}
