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
	// Digest identifies the content of the sender's view.
	Digest uint64
	// Updates are states that the sender learnt recently.
	Updates []Member
	Loads   []LoadChange
	// Have holds the sender's stamps of the hosts for which it asks for newer states.
	Have []Stamp
}

// Reply answers a Request.
type Reply struct {
	From   ident.Instance
	Digest uint64
	// Updates are states that the sender of the request does not have.
	Updates []Member
	Loads   []LoadChange
	// Window holds the stamps of a part of the receiver's view if the views differ. Successive replies go through all of
	// the view.
	Window []Stamp
}

// HasPendingUpdates reports whether changed states are still to be sent.
func (v *View) HasPendingUpdates() bool {
	for _, e := range v.members {
		if e.roundsLeft > 0 {
			return true
		}
	}
	return false
}

// GossipTargets returns the members to exchange with in this round: fanout of them while there are pending updates,
// otherwise one.
func (v *View) GossipTargets(rng *rand.Rand) []Member {
	n := 1
	if v.HasPendingUpdates() {
		n = fanout
	}
	return v.randomMembers(n, rng, func(e *entry) bool { return e.Running() })
}

// ReconnectTarget returns a random member that is declared dead and has not left. Exchanges with such members let the
// two sides of a partition find each other again.
func (v *View) ReconnectTarget(rng *rand.Rand) (Member, bool) {
	found := v.randomMembers(1, rng, func(e *entry) bool { return e.Health == Dead && e.Departure != Left })
	if len(found) == 0 {
		return Member{}, false
	}
	return found[0], true
}

// BeginRound returns the request to send to all targets of this round. It counts the round for the updates in it.
func (v *View) BeginRound() Request {
	r := Request{From: v.cfg.Self, Digest: v.digest, Updates: v.pendingUpdates(MaxUpdateBytes), Loads: v.takeLoads()}
	for _, m := range r.Updates {
		v.members[m.Instance.Host].roundsLeft--
	}
	return r
}

// takeLoads returns the load changes for one message, those sent least often first. It counts the message for them.
func (v *View) takeLoads() []LoadChange {
	var waiting []*entry
	for _, id := range v.ids {
		if e := v.members[id]; e.loadSendsLeft > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *entry) int { return b.loadSendsLeft - a.loadSendsLeft })
	remainingBytes := maxLoadBytes
	var out []LoadChange
	for _, e := range waiting {
		l := LoadChange{e.Instance, e.LoadVersion, slices.Clone(e.Loads)}
		if remainingBytes -= l.size(); remainingBytes < 0 && len(out) > 0 {
			break
		}
		e.loadSendsLeft--
		out = append(out, l)
	}
	return out
}

// pendingUpdates returns the states to be sent in at most maxBytes, those with the most rounds left first.
func (v *View) pendingUpdates(maxBytes int) []Member {
	var waiting []*entry
	for _, id := range v.ids {
		if e := v.members[id]; e.roundsLeft > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *entry) int { return b.roundsLeft - a.roundsLeft })
	var out []Member
	for _, e := range waiting {
		if maxBytes -= e.size(); maxBytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e.clone())
	}
	return out
}

// HandleRequest merges the updates of a request and returns the reply.
func (v *View) HandleRequest(r Request, now time.Time) Reply {
	reply := Reply{From: v.cfg.Self, Loads: v.takeLoads()}
	v.mergeUpdates(r.Updates, r.Loads, now)
	reply.Digest = v.digest
	if r.Digest == v.digest {
		return reply
	}
	reply.Updates = v.missingUpdates(r.Have, r.Updates)
	reply.Window = v.nextWindow()
	return reply
}

func (v *View) mergeUpdates(updates []Member, loads []LoadChange, now time.Time) {
	for _, m := range updates {
		v.Merge(m, now)
	}
	for _, l := range loads {
		v.mergeLoads(l)
	}
}

// missingUpdates returns the states that would change those in have, and pending updates that are not in sent.
func (v *View) missingUpdates(have []Stamp, sent []Member) []Member {
	remainingBytes := MaxUpdateBytes
	var out []Member
	add := func(m Member) {
		if remainingBytes -= m.size(); remainingBytes >= 0 || len(out) == 0 {
			out = append(out, m.clone())
		}
	}
	listed := make(map[ident.HostID]bool, len(have))
	for _, st := range have {
		listed[st.Instance.Host] = true
		if e, ok := v.members[st.Instance.Host]; ok && mergeChanges(e.Stamp(), st) {
			add(e.Member)
		}
	}
	for _, m := range sent {
		if e := v.members[m.Instance.Host]; e != nil && e.Stamp() == m.Stamp() {
			listed[m.Instance.Host] = true
		}
	}
	for _, m := range v.pendingUpdates(remainingBytes) {
		if !listed[m.Instance.Host] && remainingBytes > 0 {
			add(m)
		}
	}
	return out
}

// mergeChanges reports whether merging state a into state b changes b.
func mergeChanges(a, b Stamp) bool {
	merged := Merge(b.member(), a.member())
	return merged.Stamp() != b
}

// member returns a member with the stamp s and no payload.
func (s Stamp) member() Member {
	return Member{Instance: s.Instance, Version: s.Version, Refutation: s.Refutation, Health: s.Health, Departure: s.Departure}
}

// nextWindow returns the next maxStampsPerMessage stamps of the view, in the order of hosts.
func (v *View) nextWindow() []Stamp {
	ids := v.ids
	start, found := slices.BinarySearch(ids, v.windowCursor)
	if found {
		start++
	}
	var out []Stamp
	for i := range min(maxStampsPerMessage, len(ids)) {
		id := ids[(start+i)%len(ids)]
		out = append(out, v.members[id].Stamp())
		v.windowCursor = id
	}
	return out
}

// HandleReply merges the updates of a reply. If the views still differ in the window of the reply, it returns a request
// that asks for the newer states of the other side and holds those that the other side lacks.
func (v *View) HandleReply(r Reply, now time.Time) (next Request, followUp bool) {
	v.mergeUpdates(r.Updates, r.Loads, now)
	if r.Digest == v.digest {
		return Request{}, false
	}
	next = Request{From: v.cfg.Self, Digest: v.digest}
	remainingBytes := MaxUpdateBytes
	for _, st := range r.Window {
		e, ok := v.members[st.Instance.Host]
		if !ok {
			if !v.hasStopped(st.member()) {
				next.Have = append(next.Have, Stamp{Instance: ident.Instance{Host: st.Instance.Host}})
			}
			continue
		}
		own := e.Stamp()
		if mergeChanges(st, own) {
			next.Have = append(next.Have, own)
		}
		if mergeChanges(own, st) && remainingBytes >= e.size() {
			remainingBytes -= e.size()
			next.Updates = append(next.Updates, e.clone())
		}
	}
	return next, len(next.Have)+len(next.Updates) > 0
}
