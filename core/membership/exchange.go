package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Request opens an exchange.
type Request struct {
	From ident.Instance
	// Digest identifies the sender's view.
	Digest uint64
	// Updates are states that the sender has learnt lately.
	Updates []Member
	Loads   []LoadChange
	// Have lists what the sender has of hosts whose newer states it asks for.
	Have []Stamp
}

// Reply answers a Request.
type Reply struct {
	From   ident.Instance
	Digest uint64
	// Updates are states that the sender of the request lacks.
	Updates []Member
	Loads   []LoadChange
	// Window lists a part of the receiver's view, in turn, if the views differ.
	Window []Stamp
}

// HasPendingUpdates reports whether changes wait to be sent.
func (s *View) HasPendingUpdates() bool {
	for _, e := range s.members {
		if e.rounds > 0 {
			return true
		}
	}
	return false
}

// GossipTargets returns the members to exchange with in this round: several while changes wait to be sent, otherwise one.
func (s *View) GossipTargets(rng *rand.Rand) []Member {
	n := 1
	if s.HasPendingUpdates() {
		n = fanout
	}
	return s.pick(n, rng, func(e *entry) bool { return e.Running() })
}

// ReconnectTarget returns one member that is thought dead, to be tried so that both sides of a partition find each other
// again.
func (s *View) ReconnectTarget(rng *rand.Rand) (Member, bool) {
	found := s.pick(1, rng, func(e *entry) bool { return e.Health == Dead && e.Departure != Left })
	if len(found) == 0 {
		return Member{}, false
	}
	return found[0], true
}

// BeginRound returns the request for all targets of this round and counts the round.
func (s *View) BeginRound() Request {
	r := Request{From: s.cfg.Self, Digest: s.digest, Updates: s.hot(MaxUpdateBytes), Loads: s.takeLoads()}
	for _, m := range r.Updates {
		s.members[m.Instance.Host].rounds--
	}
	return r
}

// takeLoads returns the loads for one message, those sent least often first, and counts the message.
func (s *View) takeLoads() []LoadChange {
	var waiting []*entry
	for _, id := range s.ids {
		if e := s.members[id]; e.loadSends > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *entry) int { return b.loadSends - a.loadSends })
	room := maxLoadBytes
	var out []LoadChange
	for _, e := range waiting {
		l := LoadChange{e.Instance, e.LoadVersion, slices.Clone(e.Loads)}
		if room -= l.size(); room < 0 && len(out) > 0 {
			break
		}
		e.loadSends--
		out = append(out, l)
	}
	return out
}

// hot returns the states to be sent, those with the most rounds left first, within the size.
func (s *View) hot(room int) []Member {
	var waiting []*entry
	for _, id := range s.ids {
		if e := s.members[id]; e.rounds > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *entry) int { return b.rounds - a.rounds })
	var out []Member
	for _, e := range waiting {
		if room -= e.size(); room < 0 && len(out) > 0 {
			break
		}
		out = append(out, e.clone())
	}
	return out
}

// HandleRequest merges the updates of a request and returns the answer.
func (s *View) HandleRequest(r Request, now time.Time) Reply {
	reply := Reply{From: s.cfg.Self, Loads: s.takeLoads()}
	s.mergeAll(r.Updates, r.Loads, now)
	reply.Digest = s.digest
	if r.Digest == s.digest {
		return reply
	}
	reply.Updates = s.newer(r.Have, r.Updates)
	reply.Window = s.window()
	return reply
}

func (s *View) mergeAll(updates []Member, loads []LoadChange, now time.Time) {
	for _, m := range updates {
		s.Merge(m, now)
	}
	for _, l := range loads {
		s.mergeLoads(l)
	}
}

// newer returns the states that add something to those that the other side has, and hot states that it did not send.
func (s *View) newer(have []Stamp, sent []Member) []Member {
	room := MaxUpdateBytes
	var out []Member
	add := func(m Member) {
		if room -= m.size(); room >= 0 || len(out) == 0 {
			out = append(out, m.clone())
		}
	}
	asked := make(map[ident.HostID]bool, len(have))
	for _, st := range have {
		asked[st.Instance.Host] = true
		if e, ok := s.members[st.Instance.Host]; ok && adds(e.Stamp(), st) {
			add(e.Member)
		}
	}
	for _, m := range sent {
		if e := s.members[m.Instance.Host]; e != nil && e.Stamp() == m.Stamp() {
			asked[m.Instance.Host] = true
		}
	}
	for _, m := range s.hot(room) {
		if !asked[m.Instance.Host] && room > 0 {
			add(m)
		}
	}
	return out
}

// adds reports whether merging state a into state b changes b.
func adds(a, b Stamp) bool {
	joined := Merge(b.member(), a.member())
	return joined.Stamp() != b
}

func (s Stamp) member() Member {
	return Member{Instance: s.Instance, Version: s.Version, Refutation: s.Refutation, Health: s.Health, Departure: s.Departure}
}

// window returns the next stamps of the view in turn.
func (s *View) window() []Stamp {
	ids := s.ids
	start, found := slices.BinarySearch(ids, s.cursor)
	if found {
		start++
	}
	var out []Stamp
	for i := range min(maxStamps, len(ids)) {
		id := ids[(start+i)%len(ids)]
		out = append(out, s.members[id].Stamp())
		s.cursor = id
	}
	return out
}

// HandleReply merges the updates of a reply. If the other side has newer states, it returns a request for them; states
// that the other side lacks are sent with it.
func (s *View) HandleReply(r Reply, now time.Time) (next Request, again bool) {
	s.mergeAll(r.Updates, r.Loads, now)
	if r.Digest == s.digest {
		return Request{}, false
	}
	next = Request{From: s.cfg.Self, Digest: s.digest}
	room := MaxUpdateBytes
	for _, st := range r.Window {
		e, ok := s.members[st.Instance.Host]
		if !ok {
			if !s.over(st.member()) {
				next.Have = append(next.Have, Stamp{Instance: ident.Instance{Host: st.Instance.Host}})
			}
			continue
		}
		own := e.Stamp()
		if adds(st, own) {
			next.Have = append(next.Have, own)
		}
		if adds(own, st) && room >= e.size() {
			room -= e.size()
			next.Updates = append(next.Updates, e.clone())
		}
	}
	return next, len(next.Have)+len(next.Updates) > 0
}
