// Package history records what callers, targets, workers and relay hosts did during a run, and checks the record against
// the guarantees of the design page.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Kind is the type of an event.
type Kind string

// The kinds of events, with the fields that each one sets besides At.
const (
	// CallSent: Operation, Attempt, Class, Host, Idempotent, TimeoutMS. A caller sent an attempt of an operation to Host.
	CallSent Kind = "call_sent"
	// CallAnswered: Operation, Attempt, Verdict, Answer, Open, Broken, Reason. Answer is the operation named in the body of the answer.
	CallAnswered Kind = "call_answered"
	// RunStarted: Operation, Target, InProgress, Capacity. A target began to run an operation.
	RunStarted Kind = "run_started"
	// RunFinished: Operation, Target.
	RunFinished Kind = "run_finished"
	// TargetLeaving: Target. The target announced that it leaves.
	TargetLeaving Kind = "target_leaving"
	// TaskStarted: Task, Attempt, Worker, Used, Total, Checkpoint. Checkpoint is the one it resumed from, or "".
	TaskStarted Kind = "task_started"
	// TaskStopped: Task, Attempt, Worker, Checkpoint, Reason. Checkpoint is the one taken at an eviction, or "".
	TaskStopped Kind = "task_stopped"
	// TaskCancelled: Task. A caller was told that the task is cancelled.
	TaskCancelled Kind = "task_cancelled"
	// TableAccepted: Revision. An operator was told that the revision is accepted.
	TableAccepted Kind = "table_accepted"
	// TableInForce: Host, Revision.
	TableInForce Kind = "table_in_force"
	// HostUp: Host. HostDown: Host. A relay host began or ended to be live.
	HostUp   Kind = "host_up"
	HostDown Kind = "host_down"
	// HostKilled: Host. The process of a relay host was ended at once, beside HostDown.
	HostKilled Kind = "host_killed"
	// DrainStarted: Host. A planned stop of a relay host began.
	DrainStarted Kind = "drain_started"
)

// Event is one fact of a run. Which fields are set depends on Kind.
type Event struct {
	At         time.Time `json:"at"`
	Kind       Kind      `json:"kind"`
	Operation  string    `json:"operation,omitempty"`
	Attempt    int       `json:"attempt,omitempty"`
	Class      string    `json:"class,omitempty"`
	Host       string    `json:"host,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	// TimeoutMS is the limit that the caller sent, in milliseconds; 0 if none was sent.
	TimeoutMS int64  `json:"timeout_ms,omitempty"`
	Verdict   string `json:"verdict,omitempty"`
	Answer    string `json:"answer,omitempty"`
	// ReusedConnection is set if the attempt was sent over a connection that had served another one before.
	ReusedConnection bool `json:"open,omitempty"`
	// NoAnswer is set if no answer came: the verdict is then what the caller has to assume.
	NoAnswer   bool            `json:"broken,omitempty"`
	Target     string          `json:"target,omitempty"`
	InProgress int             `json:"in_progress,omitempty"`
	Capacity   int             `json:"capacity,omitempty"`
	Task       string          `json:"task,omitempty"`
	Worker     string          `json:"worker,omitempty"`
	Used       resource.Vector `json:"used,omitzero"`
	Total      resource.Vector `json:"total,omitzero"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Reason     string          `json:"reason,omitempty"`
	Revision   uint64          `json:"revision,omitempty"`
}

// Recorder collects events of one process. It is safe for concurrent use. A nil Recorder discards them.
type Recorder struct {
	// mu guards events; the time of an event is taken under it, so that the order of events is the order of times.
	mu     sync.Mutex
	now    func() time.Time
	events []Event
}

// NewRecorder returns an empty recorder that takes times from now.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now}
}

// Add records an event and sets its time.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.now()
	r.events = append(r.events, e)
}

// Events returns a copy of the events so far, in order.
func (r *Recorder) Events() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Write writes events as JSON, one a line.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write history: %w", err)
		}
	}
	return buffered.Flush()
}

// Read reads events that Write wrote and sorts them by time, so that the records of several processes can be joined.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(r)
	for {
		var e Event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("event %d of the history: %w", len(events)+1, err)
		}
		events = append(events, e)
	}
}
