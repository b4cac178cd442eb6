// Package history records what callers, targets, workers and relay hosts do during a run, and checks this history
// against the guarantees of the design page.
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

// The kinds of events. The fields in parentheses are those that an event of the kind sets besides At and Kind.
const (
	// CallSent means that a caller sent an attempt of an operation to a host (Operation, Attempt, Class, Host,
	// Idempotent, TimeoutMS).
	CallSent Kind = "call_sent"
	// CallAnswered means that an attempt ended for its caller, with or without an answer (Operation, Attempt, Verdict,
	// Answer, ReusedConnection, NoAnswer, Reason).
	CallAnswered Kind = "call_answered"
	// RunStarted means that a target began to run an operation (Operation, Target, InProgress, Capacity).
	RunStarted Kind = "run_started"
	// RunFinished means that a target finished an operation (Operation, Target).
	RunFinished Kind = "run_finished"
	// TargetLeaving means that a target announced that it leaves (Target).
	TargetLeaving Kind = "target_leaving"
	// TaskStarted means that a worker started an attempt of a task (Task, Attempt, Worker, Used, Total, Checkpoint).
	// Checkpoint is the one that the attempt resumed from, if any.
	TaskStarted Kind = "task_started"
	// TaskStopped means that an attempt of a task stopped (Task, Attempt, Worker, Checkpoint, Reason). Checkpoint is
	// the one taken at an eviction, if any.
	TaskStopped Kind = "task_stopped"
	// TaskCancelled means that a caller was told that a task is cancelled (Task).
	TaskCancelled Kind = "task_cancelled"
	// TableAccepted means that an operator was told that a revision is accepted (Revision).
	TableAccepted Kind = "table_accepted"
	// TableInForce means that a revision came into force on a host (Host, Revision).
	TableInForce Kind = "table_in_force"
	// HostUp means that a relay host became live (Host).
	HostUp Kind = "host_up"
	// HostDown means that a relay host is no longer live (Host).
	HostDown Kind = "host_down"
	// HostKilled means that the process of a relay host was killed (Host). It is recorded in addition to HostDown.
	HostKilled Kind = "host_killed"
	// DrainStarted means that a planned stop of a relay host began (Host).
	DrainStarted Kind = "drain_started"
)

// Event is one event of a run. Which fields are set depends on Kind.
type Event struct {
	At         time.Time `json:"at"`
	Kind       Kind      `json:"kind"`
	Operation  string    `json:"operation,omitempty"`
	Attempt    int       `json:"attempt,omitempty"`
	Class      string    `json:"class,omitempty"`
	Host       string    `json:"host,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	// TimeoutMS is the time limit that the caller sent, in milliseconds, or 0 if it sent none.
	TimeoutMS int64  `json:"timeout_ms,omitempty"`
	Verdict   string `json:"verdict,omitempty"`
	// Answer is the operation that the body of the answer names.
	Answer string `json:"answer,omitempty"`
	// ReusedConnection is set if the connection of the attempt had served an earlier attempt.
	ReusedConnection bool `json:"open,omitempty"`
	// NoAnswer is set if no answer came; the verdict is then what the caller must assume.
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

// Recorder collects the events of one process. It is safe for concurrent use. A nil Recorder discards them.
type Recorder struct {
	// mu guards events. It is also held while the time of an event is taken, so that events are sorted by time.
	mu     sync.Mutex
	now    func() time.Time
	events []Event
}

// NewRecorder returns an empty recorder. now is its clock.
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

// Events returns a copy of the events so far, in order of time.
func (r *Recorder) Events() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Write writes events as JSON, one per line.
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

// Read reads events that Write wrote and sorts them by time, so that the histories of several processes can be
// concatenated.
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
