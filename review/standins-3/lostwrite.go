package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

func init() { cases["lostwrite"] = playLostWrite }

// lastingJob has a target that is no whole number of milliseconds.
const lastingJob = `{"Spec":"60000","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":1000,"LongRunning":true,"Image":"img-1","TargetMs":37.5}]}`

// lostEvery is the distance of the lost answers: a third, below the share x = 0.35 of the site.
const lostEvery = 3

// playLostWrite restarts the owner of the cell, while the store loses the answers to a third of the writes into the inbox
// by the host that takes the cell over. Clients call that host.
func playLostWrite(w *world, trouble bool) int {
	next, ok := w.begin()
	if !ok {
		return exitNotRun
	}
	owner := w.owner()
	w.log("%s owns the cell, clients call %s, which is to take it over", owner.name, next.name)
	if trouble {
		w.setTap(w.loseAnswers(next))
	}
	w.log("SIGTERM to %s", owner.name)
	owner.signal(sigterm)
	answers := w.handInLasting(next, 40)
	w.setTap(nil)
	time.Sleep(4 * time.Second)
	return w.judgeRefused(answers)
}

// loseAnswers executes each third write of a host into the inbox and leaves it unanswered.
func (w *world) loseAnswers(entry *host) func(h *host, rw http.ResponseWriter, r *http.Request) bool {
	var mu sync.Mutex
	writes := 0
	return func(h *host, _ http.ResponseWriter, r *http.Request) bool {
		if h != entry || r.URL.Path != "/-/kv-txn" {
			return false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !strings.HasPrefix(keysOf(body), "/cell/0/inbox/") {
			return false
		}
		mu.Lock()
		writes++
		lost := writes%lostEvery == 0
		mu.Unlock()
		if !lost {
			return false
		}
		unread := httptest.NewRecorder()
		w.store.ServeHTTP(unread, r)
		w.log("the store has executed a write of %s (status %d) and loses the answer: %s", h.name, unread.Code, keysOf(body))
		<-r.Context().Done()
		return true
	}
}

// keysOf lists the keys that a transaction writes.
func keysOf(body []byte) string {
	var txn struct{ Puts []struct{ Key string } }
	_ = json.Unmarshal(body, &txn)
	var keys []string
	for _, p := range txn.Puts {
		keys = append(keys, p.Key)
	}
	return strings.Join(keys, " ")
}

// handInLasting hands n jobs in, one each 12 ms, each with one call, and returns the status of the answers by job.
func (w *world) handInLasting(h *host, n int) map[string]int {
	var mu sync.Mutex
	var calls sync.WaitGroup
	answers := make(map[string]int)
	for i := range n {
		id := fmt.Sprintf("%016x", 0xbee0000+i)
		calls.Go(func() {
			status, _ := w.submit(h, "old", id, lastingJob)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = status
		})
		time.Sleep(12 * time.Millisecond)
	}
	calls.Wait()
	return answers
}

// isRejection reports whether an answer says that the job was not accepted. After the others the client asks again.
func isRejection(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// judgeRefused checks that no task runs of a job whose only call was rejected.
func (w *world) judgeRefused(answers map[string]int) int {
	broken := 0
	for id, status := range answers {
		if runs := w.runsOf(id); isRejection(status) && runs > 0 {
			w.log("job %s was rejected with %d, and %d runs of its task were started", id, status, runs)
			broken++
		}
	}
	w.log("%d of %d jobs were rejected and run", broken, len(answers))
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// runsOf counts the runs of a job that workers have started.
func (w *world) runsOf(id string) (n int) {
	for _, k := range w.workers {
		k.mu.Lock()
		n += k.started[id]
		k.mu.Unlock()
	}
	return n
}
