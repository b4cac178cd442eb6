package peergrpc

import (
	"fmt"
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/jobgroup"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

func jobFailureToMessage(err error) *peerv1.Failure {
	e := verdict.FromError(err)
	return &peerv1.Failure{
		Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Error(), RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// jobFailureFromMessage keeps the verdict of the peer. A verdict that cannot be parsed becomes MayHaveRun.
func jobFailureFromMessage(f *peerv1.Failure) error {
	v, err := verdict.Parse(f.GetVerdict())
	if err != nil {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.Code(f.GetCode()), "%s", f.GetMessage()).
		WithRetryAfter(durationFromMs(f.GetRetryAfterMs()))
}

func jobSpecToMessage(s lifecycle.JobSpec) *peerv1.JobSpec {
	return &peerv1.JobSpec{
		Name: s.Name, Class: string(s.Class), Token: s.ClientToken, Tenant: string(s.Tenant), Kind: string(s.Kind),
		Number: s.ClientNumber, Pool: s.Pool, FailFast: s.FailFast,
		Stretch: s.Stretch, GraceMs: s.Grace.Milliseconds(),
		Groups:      jobgroup.ToMessages(s.Groups),
		MaxFailures: uint32(min(max(s.MaxFailures, 0), math.MaxInt32)), TableRevision: uint64(s.TableRevision),
	}
}

func jobSpecFromMessage(s *peerv1.JobSpec) lifecycle.JobSpec {
	return lifecycle.JobSpec{
		Name: s.GetName(), Class: ident.ClassName(s.GetClass()), ClientToken: s.GetToken(),
		Tenant: ident.TenantName(s.GetTenant()), Kind: table.Kind(s.GetKind()),
		ClientNumber: s.GetNumber(), Pool: s.GetPool(), FailFast: s.GetFailFast(),
		Stretch: s.GetStretch(), Grace: ageFromMs(s.GetGraceMs()),
		Groups:      jobgroup.FromMessages(s.GetGroups()),
		MaxFailures: int(min(s.GetMaxFailures(), math.MaxInt32)), TableRevision: table.Revision(s.GetTableRevision()),
	}
}

// timeToUnixMs encodes the zero time as 0.
func timeToUnixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromUnixMs(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func jobViewToMessage(v lifecycle.JobView) *peerv1.JobView {
	out := &peerv1.JobView{
		Job: v.Job.String(), Spec: jobSpecToMessage(v.Spec), State: v.State.String(), Counts: make(map[string]uint32),
		AcceptedAtUnixMs: timeToUnixMs(v.AcceptedAt), FinishedAtUnixMs: timeToUnixMs(v.FinishedAt),
		Verdict: v.Verdict.String(), Version: v.Version,
	}
	for s, n := range v.Counts {
		out.Counts[s.String()] = uint32(n)
	}
	for _, t := range v.Tasks {
		out.Tasks = append(out.Tasks, &peerv1.TaskView{
			Task: t.Task.String(), State: t.State.String(), Attempts: uint32(t.Attempts), Worker: string(t.Worker),
			Verdict: t.Verdict.String(), Evictions: uint32(t.Evictions), Failures: uint32(t.Failures), Why: t.Reason,
		})
	}
	return out
}

func jobViewFromMessage(v *peerv1.JobView) (lifecycle.JobView, error) {
	invalidJob := func(err error) (lifecycle.JobView, error) {
		return lifecycle.JobView{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "job received from a peer")
	}
	id, err := ident.ParseJobID(v.GetJob())
	if err != nil {
		return invalidJob(err)
	}
	state, err := lifecycle.ParseState(v.GetState())
	if err != nil {
		return invalidJob(err)
	}
	jobVerdict, err := verdict.Parse(v.GetVerdict())
	if err != nil {
		return invalidJob(err)
	}
	out := lifecycle.JobView{
		Job: id, Spec: jobSpecFromMessage(v.GetSpec()), State: state, Counts: make(map[lifecycle.State]int),
		AcceptedAt: timeFromUnixMs(v.GetAcceptedAtUnixMs()), FinishedAt: timeFromUnixMs(v.GetFinishedAtUnixMs()),
		Verdict: jobVerdict, Version: v.GetVersion(),
	}
	for name, n := range v.GetCounts() {
		s, err := lifecycle.ParseState(name)
		if err != nil {
			return invalidJob(err)
		}
		out.Counts[s] = int(n)
	}
	for _, t := range v.GetTasks() {
		task, err := taskViewFromMessage(t)
		if err != nil {
			return invalidJob(err)
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out, nil
}

func taskViewFromMessage(t *peerv1.TaskView) (lifecycle.TaskView, error) {
	id, err := ident.ParseTaskID(t.GetTask())
	if err != nil {
		return lifecycle.TaskView{}, err
	}
	state, err := lifecycle.ParseState(t.GetState())
	if err != nil {
		return lifecycle.TaskView{}, fmt.Errorf("task %s: %w", id, err)
	}
	taskVerdict, err := verdict.Parse(t.GetVerdict())
	if err != nil {
		return lifecycle.TaskView{}, fmt.Errorf("task %s: %w", id, err)
	}
	return lifecycle.TaskView{
		Task: id, State: state, Attempts: int(t.GetAttempts()), Worker: ident.WorkerID(t.GetWorker()), Verdict: taskVerdict,
		Evictions: int(t.GetEvictions()), Failures: int(t.GetFailures()), Reason: t.GetWhy(),
	}, nil
}
