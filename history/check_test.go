package history

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// at numbers the events of a trace 100 ms apart.
func at(events ...Event) []Event {
	start := time.UnixMilli(1_700_000_000_000).UTC()
	for i := range events {
		events[i].At = start.Add(time.Duration(i) * 100 * time.Millisecond)
	}
	return events
}

func sent(attempt int, idempotent bool) Event {
	return Event{Kind: CallSent, Operation: "a", Attempt: attempt, Host: "h1", Idempotent: idempotent}
}

// limited is an attempt with a limit of the caller.
func limited(attempt int, ms int64) Event {
	e := sent(attempt, true)
	e.TimeoutMS = ms
	return e
}

func answered(attempt int, v string) Event {
	return Event{Kind: CallAnswered, Operation: "a", Attempt: attempt, Verdict: v, Answer: "a"}
}

var run = Event{Kind: RunStarted, Operation: "a", Target: "t", InProgress: 1, Capacity: 8}

func started(worker string, attempt int, checkpoint string) Event {
	return Event{Kind: TaskStarted, Task: "j", Worker: worker, Attempt: attempt, Checkpoint: checkpoint}
}

func stopped(worker string, attempt int, reason, checkpoint string) Event {
	return Event{Kind: TaskStopped, Task: "j", Worker: worker, Attempt: attempt, Reason: reason, Checkpoint: checkpoint}
}

// broken is what a caller records that got no answer.
var broken = Event{Kind: CallAnswered, Operation: "a", Attempt: 1, Verdict: "may-have-run", NoAnswer: true}

func overOpen(e Event) Event {
	e.ReusedConnection = true
	return e
}

func pause(n int) []Event {
	return make([]Event, n)
}

// Guards against a rule that cannot fail: each trace breaks one guarantee and must be reported under its number.
func TestEachRuleFindsItsViolation(t *testing.T) {
	small := resource.Vector{MilliCPU: 1000}
	for name, tc := range map[string]struct {
		guarantee string
		trace     []Event
	}{
		"worker over capacity":                   {"P1", []Event{{Kind: TaskStarted, Task: "j", Worker: "w", Used: small.Scale(2), Total: small}}},
		"target over its slots":                  {"P1", []Event{sent(1, true), {Kind: RunStarted, Operation: "a", InProgress: 9, Capacity: 8}}},
		"task in two places":                     {"P2", []Event{started("w1", 1, ""), started("w2", 2, "")}},
		"one attempt twice":                      {"P3", []Event{started("w1", 1, ""), stopped("w1", 1, "evicted", "c"), started("w2", 2, "c"), stopped("w2", 2, "lost", ""), started("w3", 2, "c")}},
		"eviction not resumed":                   {"P3", []Event{started("w1", 1, ""), stopped("w1", 1, "evicted", "c")}},
		"answer of another":                      {"P4", []Event{sent(1, true), run, {Kind: CallAnswered, Operation: "a", Attempt: 1, Verdict: "ran", Answer: "b"}}},
		"answer without a run":                   {"P4", []Event{sent(1, true), answered(1, "ran")}},
		"false not-run":                          {"P5", []Event{sent(1, true), run, answered(1, "not-run")}},
		"not-run of a repeat":                    {"P5", []Event{sent(1, false), run, answered(1, "may-have-run"), sent(2, false), answered(2, "not-run")}},
		"run of an unsent call":                  {"P5", []Event{sent(1, true), answered(1, VerdictUnsent), run}},
		"run after not-run":                      {"P5", []Event{sent(1, true), answered(1, "not-run"), run}},
		"second run":                             {"P6", []Event{sent(1, false), run, answered(1, "may-have-run"), sent(2, false), run}},
		"work for a leaver":                      {"P7", append(append([]Event{{Kind: TargetLeaving, Target: "t"}}, pause(31)...), sent(1, true), run)},
		"cut off by a stop":                      {"P8", []Event{sent(1, true), {Kind: DrainStarted, Host: "h1"}, answered(1, "may-have-run")}},
		"cut off a caller on an open connection": {"P8", []Event{{Kind: DrainStarted, Host: "h1"}, sent(1, true), overOpen(broken)}},
		"cut off by a stop asked for twice":      {"P8", []Event{sent(1, true), {Kind: DrainStarted, Host: "h1"}, {Kind: DrainStarted, Host: "h1"}, answered(1, "may-have-run")}},
		"cut off before a kill":                  {"P8", []Event{sent(1, true), {Kind: DrainStarted, Host: "h1"}, answered(1, "may-have-run"), {Kind: HostKilled, Host: "h1"}}},
		"revision goes back":                     {"P9", []Event{{Kind: TableInForce, Host: "h1", Revision: 3}, {Kind: TableInForce, Host: "h1", Revision: 2}}},
		"never in force":                         {"P9", append([]Event{{Kind: HostUp, Host: "h1"}, {Kind: TableAccepted, Revision: 3}}, pause(25)...)},
	} {
		t.Run(name, func(t *testing.T) {
			bounds := DefaultBounds()
			bounds.RunComplete = true
			got := Check(at(tc.trace...), bounds)
			require.Len(t, got, 1)
			require.Equal(t, tc.guarantee, got[0].Guarantee, got[0])
			require.NotEmpty(t, got[0].Trace)
		})
	}
}

// Guards against a rule that rejects what the guarantees allow.
func TestAllowedHistoriesPass(t *testing.T) {
	for name, trace := range map[string][]Event{
		"unsent repeat":                         {sent(1, false), run, answered(1, "may-have-run"), sent(2, false), answered(2, VerdictUnsent)},
		"retry after not-run":                   {sent(1, false), answered(1, "not-run"), sent(2, false), run, answered(2, "ran")},
		"replay of a late answer":               {sent(1, false), run, answered(1, "may-have-run"), sent(2, false), answered(2, "ran")},
		"idempotent request twice":              {sent(1, true), run, run, answered(1, "ran")},
		"resume after worker loss":              {started("w1", 1, ""), stopped("w1", 1, "evicted", "c"), started("w2", 2, "c"), stopped("w2", 2, "lost", ""), started("w1", 3, "c")},
		"eviction of a cancelled":               {started("w1", 1, ""), stopped("w1", 1, "evicted", "c"), {Kind: TaskCancelled, Task: "j"}},
		"stop between two requests":             {sent(1, true), run, answered(1, "ran"), {Kind: DrainStarted, Host: "h1"}},
		"kill in a planned stop":                {sent(1, true), {Kind: DrainStarted, Host: "h1"}, {Kind: HostKilled, Host: "h1"}, answered(1, "may-have-run")},
		"whole answer during a stop":            {{Kind: DrainStarted, Host: "h1"}, sent(1, true), overOpen(answered(1, "may-have-run"))},
		"new connection during a stop":          {{Kind: DrainStarted, Host: "h1"}, sent(1, true), broken},
		"open connection after a stop":          {{Kind: DrainStarted, Host: "h1"}, {Kind: HostUp, Host: "h1"}, sent(1, true), overOpen(broken)},
		"refusal during a stop asked for twice": {{Kind: DrainStarted, Host: "h1"}, sent(1, false), {Kind: DrainStarted, Host: "h1"}, answered(1, "may-have-run")},
		"kill in a stop asked for twice":        {sent(1, true), {Kind: DrainStarted, Host: "h1"}, {Kind: DrainStarted, Host: "h1"}, {Kind: HostKilled, Host: "h1"}, answered(1, "may-have-run")},
		"host down before the bound":            append([]Event{{Kind: HostUp, Host: "h1"}, {Kind: TableAccepted, Revision: 3}, {Kind: HostDown, Host: "h1"}}, pause(25)...),
	} {
		t.Run(name, func(t *testing.T) {
			bounds := DefaultBounds()
			bounds.RunComplete = true
			require.Empty(t, Check(at(trace...), bounds))
		})
	}
}

// Guards against whole answers for another reason that count as cut off beside other failures, and against lost answers,
// answers that name the stop, and planned stops without other failures that are let through for that reason.
func TestOtherCauseDuringAPlannedStop(t *testing.T) {
	whole := answered(1, "may-have-run")
	whole.Reason = "the connection broke before the answer"
	unknown := answered(1, "may-have-run")
	unknown.Reason = "a reason that no trace has shown"
	stopping := answered(1, "may-have-run")
	stopping.Reason = "an earlier attempt under this key may have run: this host is draining"
	for _, tc := range []struct {
		answer Event
		others bool
		broken int
	}{{whole, true, 0}, {whole, false, 1}, {unknown, true, 1}, {stopping, true, 1}, {broken, true, 1}} {
		bounds := DefaultBounds()
		bounds.WithOtherFailures = tc.others
		trace := at(sent(1, false), Event{Kind: DrainStarted, Host: "h1"}, tc.answer)
		require.Len(t, Check(trace, bounds), tc.broken, "%+v", tc)
	}
}

// Guards against answers at the caller's limit that count as cut off beside other failures, and against a planned stop
// without other failures, or an earlier answer, that is let through for that reason.
func TestLimitDuringAPlannedStop(t *testing.T) {
	for _, tc := range []struct {
		limitMS int64
		others  bool
		broken  int
	}{{200, true, 0}, {300, true, 1}, {0, true, 1}, {200, false, 1}} {
		bounds := DefaultBounds()
		bounds.WithOtherFailures = tc.others
		trace := at(limited(1, tc.limitMS), Event{Kind: DrainStarted, Host: "h1"}, answered(1, "may-have-run"))
		require.Len(t, Check(trace, bounds), tc.broken, "%+v", tc)
	}
}

// Guards against a record that changes when it is written and read.
func TestWriteRead(t *testing.T) {
	events := at(sent(1, true), run, started("w", 1, "c"))
	var b bytes.Buffer
	require.NoError(t, Write(&b, events))
	got, err := Read(&b)
	require.NoError(t, err)
	require.Equal(t, events, got)
	_, err = Read(bytes.NewBufferString("{\"at\":1}"))
	require.Error(t, err)
}
