// Package reach decides when the owner of a cell hands it to a host that reaches more of the cell's workers.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Contact lists the workers of a cell that exist and do not shut down, by whether they answer the owner.
type Contact struct {
	Reached, Unreached []ident.WorkerID
}

// workers returns the number of all workers.
func (c Contact) workers() int {
	return len(c.Reached) + len(c.Unreached)
}

// ReachesHalf reports whether the owner reaches at least half of the workers.
func (c Contact) ReachesHalf() bool {
	return len(c.Reached) >= len(c.Unreached)
}

// Question asks a peer which of the workers answer it.
type Question struct {
	Peer    ident.Instance
	Workers []ident.WorkerID

	// number identifies the question. The first unreached of the workers do not answer the owner.
	number    uint64
	unreached int
	// allReached and allUnreached count the workers from which the samples were taken.
	allReached, allUnreached int
}

// estimate returns how many of all workers the peer is estimated to reach.
func (q Question) estimate(reached []ident.WorkerID) float64 {
	answers := make(map[ident.WorkerID]struct{}, len(reached))
	for _, w := range reached {
		answers[w] = struct{}{}
	}
	share := func(sample []ident.WorkerID, of int) float64 {
		n := 0
		for _, w := range sample {
			if _, ok := answers[w]; ok {
				n++
			}
		}
		return float64(n*of) / float64(max(len(sample), 1))
	}
	return share(q.Workers[:q.unreached], q.allUnreached) + share(q.Workers[q.unreached:], q.allReached)
}

// isBetter reports whether the peer is estimated to reach more than half of all workers and at least a quarter of all
// workers more than the owner.
func (q Question) isBetter(reached []ident.WorkerID) bool {
	all, estimate := float64(q.allReached+q.allUnreached), q.estimate(reached)
	return estimate > all/2 && estimate-float64(q.allReached) >= all/4
}

// Config holds the times and limits of a Monitor.
type Config struct {
	// ClaimTime is how long a new owner asks nothing and keeps the cell, because it first claims its workers.
	ClaimTime time.Duration
	// RoundPause is the time between rounds of questions. It doubles up to MaxRoundPause after each turn through the
	// candidates in which none was better.
	RoundPause, MaxRoundPause time.Duration
	// PeersPerRound is how many peers are asked in a round.
	PeersPerRound int
	// UnreachedSample and ReachedSample are how many of the workers out of the owner's reach, and of the others, a
	// question names.
	UnreachedSample, ReachedSample int
	// MinConfirmGap is the least time between the two answers that make a peer the successor.
	MinConfirmGap time.Duration
	// AnswerTimeout is when a question without a result counts as not answered.
	AnswerTimeout time.Duration
	// ReliefPause is the time between two questions to a preferred host.
	ReliefPause time.Duration
}

// DefaultConfig returns the times and limits for a cell whose work lapses within seconds.
func DefaultConfig() Config {
	return Config{
		ClaimTime:       3 * time.Second,
		RoundPause:      500 * time.Millisecond,
		MaxRoundPause:   8 * time.Second,
		PeersPerRound:   3,
		UnreachedSample: 16,
		ReachedSample:   8,
		MinConfirmGap:   300 * time.Millisecond,
		AnswerTimeout:   2 * time.Second,
		ReliefPause:     5 * time.Second,
	}
}

// contactChangeDivisor gives the part of the workers by which the owner's contact must change to end a longer pause.
const contactChangeDivisor = 8

// pendingQuestion is a question that has no result yet.
type pendingQuestion struct {
	number uint64
	sentAt time.Time
}

// Monitor watches the reach of the owner of one cell under one epoch. It is not safe for concurrent use. It does no
// I/O: Step returns the questions to ask, and their results are passed back in.
type Monitor struct {
	cfg     Config
	random  *rand.Rand
	started time.Time
	numbers uint64

	contact    Contact
	candidates []ident.Instance
	// pausedAt is the contact at which the pause was set.
	pausedAt  Contact
	pause     time.Duration
	lastRound time.Time
	nextRound time.Time
	// asked holds the candidates that were asked in this turn.
	asked   map[ident.Instance]struct{}
	pending map[ident.Instance]pendingQuestion
	// betterSince is when each peer was first better, of those whose last answer was.
	betterSince map[ident.Instance]time.Time

	relief relief
}

// NewMonitor returns the Monitor of a cell that this host has owned since now.
func NewMonitor(cfg Config, random *rand.Rand, now time.Time) *Monitor {
	m := &Monitor{
		cfg: cfg, random: random, started: now,
		asked:       make(map[ident.Instance]struct{}),
		pending:     make(map[ident.Instance]pendingQuestion),
		betterSince: make(map[ident.Instance]time.Time),
	}
	m.reset()
	return m
}

// reset forgets all answers. Questions that have no result yet no longer count.
func (m *Monitor) reset() {
	m.pause, m.lastRound, m.nextRound, m.pausedAt = m.cfg.RoundPause, time.Time{}, time.Time{}, m.contact
	clear(m.asked)
	clear(m.pending)
	clear(m.betterSince)
}

// claiming reports whether the owner still claims its workers.
func (m *Monitor) claiming(now time.Time) bool {
	return now.Before(m.started.Add(m.cfg.ClaimTime))
}

// Step takes the contact of the owner and the other hosts that may own the cell, most preferred first, and returns the
// questions to ask now. The result of each must be passed to Answered.
func (m *Monitor) Step(now time.Time, c Contact, candidates []ident.Instance) []Question {
	m.contact, m.candidates = c, candidates
	if c.workers() <= 1 || c.ReachesHalf() || len(candidates) == 0 {
		m.reset()
		return nil
	}
	if m.claiming(now) {
		return nil
	}
	m.expire(now)
	if m.contactChanged() {
		m.setPause(m.cfg.RoundPause)
	}
	if now.Before(m.nextRound) {
		return nil
	}
	return m.round(now)
}

// expire counts questions without a result as not answered.
func (m *Monitor) expire(now time.Time) {
	for peer, p := range m.pending {
		if !now.Before(p.sentAt.Add(m.cfg.AnswerTimeout)) {
			delete(m.pending, peer)
			delete(m.betterSince, peer)
		}
	}
}

// contactChanged reports whether the number of workers that the owner reaches, or does not reach, has changed by more
// than an eighth of all since the pause was set.
func (m *Monitor) contactChanged() bool {
	limit := m.contact.workers()
	changed := func(a, b []ident.WorkerID) bool {
		return contactChangeDivisor*max(len(a)-len(b), len(b)-len(a)) > limit
	}
	return changed(m.contact.Reached, m.pausedAt.Reached) || changed(m.contact.Unreached, m.pausedAt.Unreached)
}

// setPause sets the pause after the last round.
func (m *Monitor) setPause(pause time.Duration) {
	m.pause, m.pausedAt = pause, m.contact
	if !m.lastRound.IsZero() {
		m.nextRound = m.lastRound.Add(pause)
	}
}

// round asks the peers that were better in their last answer, and then those that were not asked in this turn.
func (m *Monitor) round(now time.Time) []Question {
	var peers []ident.Instance
	choose := func(wanted func(ident.Instance) bool) {
		for _, c := range m.candidates {
			if _, waits := m.pending[c]; len(peers) < m.cfg.PeersPerRound && !waits && !slices.Contains(peers, c) && wanted(c) {
				peers = append(peers, c)
			}
		}
	}
	choose(func(c ident.Instance) bool { _, ok := m.betterSince[c]; return ok })
	choose(func(c ident.Instance) bool { _, ok := m.asked[c]; return !ok })
	questions := make([]Question, 0, len(peers))
	for _, p := range peers {
		q := m.question(p, m.contact, m.cfg.ReachedSample)
		m.pending[p] = pendingQuestion{number: q.number, sentAt: now}
		m.asked[p] = struct{}{}
		questions = append(questions, q)
	}
	m.lastRound = now
	pause := m.pause
	if !slices.ContainsFunc(m.candidates, func(c ident.Instance) bool { _, ok := m.asked[c]; return !ok }) {
		clear(m.asked)
		if len(m.betterSince) == 0 {
			// An answer that is better sets the pause back.
			pause = min(2*pause, m.cfg.MaxRoundPause)
		}
	}
	m.setPause(pause)
	return questions
}

// question returns a question about a sample of the workers.
func (m *Monitor) question(peer ident.Instance, c Contact, reachedSample int) Question {
	m.numbers++
	unreached := m.sample(c.Unreached, m.cfg.UnreachedSample)
	return Question{
		Peer: peer, Workers: append(unreached, m.sample(c.Reached, reachedSample)...), number: m.numbers,
		unreached: len(unreached), allReached: len(c.Reached), allUnreached: len(c.Unreached),
	}
}

// sample returns up to n of the workers, each with the same probability.
func (m *Monitor) sample(workers []ident.WorkerID, n int) []ident.WorkerID {
	n = min(n, len(workers))
	picked := make([]ident.WorkerID, 0, n)
	for i, w := range workers {
		if m.random.IntN(len(workers)-i) < n-len(picked) {
			picked = append(picked, w)
		}
	}
	return picked
}

// Answered takes the result of a question: the workers that answer the peer, or answered false if the peer gave no
// answer. If handOver is set, the cell is to be handed to the successor.
func (m *Monitor) Answered(now time.Time, q Question, reached []ident.WorkerID, answered bool) (successor ident.Instance, handOver bool) {
	if p, ok := m.pending[q.Peer]; !ok || p.number != q.number {
		return ident.Instance{}, false
	}
	delete(m.pending, q.Peer)
	if !answered || !q.isBetter(reached) || !slices.Contains(m.candidates, q.Peer) {
		delete(m.betterSince, q.Peer)
		return ident.Instance{}, false
	}
	since, ok := m.betterSince[q.Peer]
	if !ok {
		m.betterSince[q.Peer] = now
		m.setPause(m.cfg.RoundPause)
		return ident.Instance{}, false
	}
	if now.Before(since.Add(m.cfg.MinConfirmGap)) {
		return ident.Instance{}, false
	}
	m.reset()
	// The drain takes time, and the caller may be unable to hand over: the answers count anew in the next round.
	m.lastRound, m.nextRound = now, now.Add(m.cfg.RoundPause)
	return q.Peer, true
}
