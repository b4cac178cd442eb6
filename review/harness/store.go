package main

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key     string
	Value   []byte
	Rev     int64
	Created int64
	Lease   int64
}

// change is an entry of the history of the store.
type change struct {
	item
	Deleted bool
}

// expectation is a condition of a transaction: the last change of a key, or 0 if the key must not exist.
type expectation struct {
	Key string
	Rev int64
}

// put is a write of a transaction.
type put struct {
	Key   string
	Value []byte
	Lease int64
}

// txn is the body of a transaction.
type txn struct {
	ExpectRev []expectation
	Puts      []put
	Remove    []string
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. Its history is never discarded.
type store struct {
	// mu guards the fields below, because calls are served concurrently.
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	leases    map[int64]*lease
	nextLease int64
	history   []change
	// changed is closed and replaced with each change.
	changed chan struct{}
	// answerTime is how long the store takes for an answer.
	answerTime time.Duration
	// lose decides whether the answer of a write is lost and, if so, when the write is executed. Nil loses none.
	lose func(txn) (delay time.Duration, lost bool)
	// applied is called with each transaction that was executed. Nil ignores it.
	applied func(txn)
}

// storeAnswerTime is the answer time that the pages give for the store.
const storeAnswerTime = 4 * time.Millisecond

func newStore() *store {
	return &store{
		rev: 1, items: make(map[string]item), leases: make(map[int64]*lease), nextLease: 100,
		changed: make(chan struct{}), answerTime: storeAnswerTime,
	}
}

// setAnswerTime changes how long the store takes for an answer.
func (s *store) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime = d
}

func (s *store) currentAnswerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerTime
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// keySummary lists the keys with a prefix: the first and the last log entry, and all others.
func (s *store) keySummary(prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var logs, others []string
	for key := range s.items {
		switch {
		case strings.HasPrefix(key, prefix+"log/"):
			logs = append(logs, key)
		case strings.HasPrefix(key, prefix):
			others = append(others, key)
		}
	}
	slices.Sort(others)
	if len(logs) > 0 {
		others = append(others, slices.Min(logs)+" to "+slices.Max(logs))
	}
	return strings.Join(others, ", ")
}

// expireLeases removes the keys of leases that have ended, until stop is closed.
func (s *store) expireLeases(stop <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if !now.Before(l.ends) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		case <-stop:
			return
		}
	}
}

// endLease ends a lease and removes its keys. It requires mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
}

// remove deletes a key at the current revision. It requires mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(change{item: item{Key: key, Rev: s.rev}, Deleted: true})
}

// record adds a change to the history. It requires mu.
func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// execute applies a transaction. It returns status 200, 404 or 412, and for 412 the present items of the conditions.
func (s *store) execute(t txn) (status int, rev int64, present []item) {
	s.mu.Lock()
	failed := false
	for _, e := range t.ExpectRev {
		i, ok := s.items[e.Key]
		if ok {
			present = append(present, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	if failed {
		s.mu.Unlock()
		return 412, 0, present
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			s.mu.Unlock()
			return 404, 0, nil
		}
	}
	s.rev++
	rev = s.rev
	for _, p := range t.Puts {
		i := item{Key: p.Key, Value: p.Value, Rev: rev, Created: rev, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			i.Created = old.Created
		}
		s.items[p.Key] = i
		s.record(change{item: i})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	applied := s.applied
	s.mu.Unlock()
	if applied != nil {
		applied(t)
	}
	return 200, rev, nil
}

// write puts one key without conditions, as the operator and the runners do.
func (s *store) write(key string, value []byte, leaseID int64) {
	s.execute(txn{Puts: []put{{Key: key, Value: value, Lease: leaseID}}})
}

// grant creates a lease.
func (s *store) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return s.nextLease
}

// keep renews a lease, and reports whether it still exists.
func (s *store) keep(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if ok {
		l.ends = time.Now().Add(l.ttl)
	}
	return ok
}
