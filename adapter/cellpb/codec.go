package cellpb

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	cellv1 "github.com/bulrushrelay/bulrushrelay/api/cell/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// maxTasksPerEntry bounds the tasks of one job entry of a snapshot. A larger job is split into several entries, so that
// no entry exceeds a snapshot part: a task takes at most about 1.5 KB, with six failures of the longest message.
const maxTasksPerEntry = 200

// errEmpty is returned for a value without the field that every valid one has. An empty value must not be taken for the
// state of a cell without jobs.
var errEmpty = errors.New("the value is empty")

// Codec implements jobs.Codec.
type Codec struct{}

var _ jobs.Codec = Codec{}

// RecordSize returns the bytes that a record adds to a batch, including its field tag and length, or 0 if the record
// cannot be encoded.
func (Codec) RecordSize(r lifecycle.Record) int {
	out, err := encodeRecord(r)
	if err != nil {
		return 0
	}
	return proto.Size(out) + 8
}

// EncodeBatch returns the value of a cell log key.
func (Codec) EncodeBatch(marker string, records []lifecycle.Record) ([]byte, error) {
	b := &cellv1.Batch{Marker: marker}
	for _, r := range records {
		out, err := encodeRecord(r)
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, out)
	}
	return proto.Marshal(b)
}

// DecodeBatch returns the marker and the records in the value of a cell log key.
func (Codec) DecodeBatch(value []byte) (string, []lifecycle.Record, error) {
	var b cellv1.Batch
	if err := proto.Unmarshal(value, &b); err != nil {
		return "", nil, fmt.Errorf("cell log entry: %w", err)
	}
	if b.GetMarker() == "" {
		return "", nil, fmt.Errorf("cell log entry: %w", errEmpty)
	}
	var records []lifecycle.Record
	for _, r := range b.GetRecords() {
		in, err := decodeRecord(r)
		if err != nil {
			return "", nil, fmt.Errorf("cell log entry: %w", err)
		}
		records = append(records, in)
	}
	return b.GetMarker(), records, nil
}

// EncodeHead returns the value of the key of a snapshot head.
func (Codec) EncodeHead(h jobs.Head) ([]byte, error) {
	return proto.Marshal(&cellv1.SnapshotHead{
		Seq: h.Seq, Epoch: uint64(h.Epoch), Clean: h.Clean, Parts: uint32(h.Parts), Id: h.ID,
	})
}

// DecodeHead decodes the value of the key of a snapshot head.
func (Codec) DecodeHead(value []byte) (jobs.Head, error) {
	var h cellv1.SnapshotHead
	if err := proto.Unmarshal(value, &h); err != nil {
		return jobs.Head{}, fmt.Errorf("snapshot head: %w", err)
	}
	if h.GetId() == "" {
		return jobs.Head{}, fmt.Errorf("snapshot head: %w", errEmpty)
	}
	return jobs.Head{
		Seq: h.GetSeq(), Epoch: ident.Epoch(h.GetEpoch()), Clean: h.GetClean(), Parts: int(h.GetParts()), ID: h.GetId(),
	}, nil
}

// EncodeSnapshot encodes a snapshot in parts of at most about maxBytes each. A job may continue in the next part.
func (Codec) EncodeSnapshot(s lifecycle.Snapshot, maxBytes int) ([][]byte, error) {
	var parts [][]byte
	current := &cellv1.SnapshotPart{LongestLeaseUs: s.LongestLease.Microseconds()}
	size := 0
	flush := func() error {
		value, err := proto.Marshal(current)
		if err != nil {
			return err
		}
		parts = append(parts, value)
		current = &cellv1.SnapshotPart{}
		size = 0
		return nil
	}
	for _, w := range s.Workers {
		out := encodeWorker(w)
		current.Workers = append(current.Workers, out)
		size += proto.Size(out) + 8
	}
	for _, w := range s.Silent {
		out := encodeSilence(w)
		current.Workers = append(current.Workers, out)
		size += proto.Size(out) + 8
	}
	for _, j := range s.Jobs {
		for _, entry := range splitJob(j) {
			n := proto.Size(entry) + 8
			if size > 0 && size+n > maxBytes {
				if err := flush(); err != nil {
					return nil, err
				}
			}
			current.Jobs = append(current.Jobs, entry)
			size += n
		}
	}
	if err := flush(); err != nil {
		return nil, err
	}
	return parts, nil
}

// splitJob encodes a job as one or more entries of at most maxTasksPerEntry tasks.
func splitJob(j lifecycle.JobSnapshot) []*cellv1.JobSnapshot {
	first := &cellv1.JobSnapshot{
		Job: encodeJobID(j.Job), Spec: encodeSpec(j.Spec), AcceptedAtUnixMs: encodeTime(j.AcceptedAt), Cancelled: j.Cancelled,
		FinishedAtUnixMs: encodeTime(j.FinishedAt),
	}
	entries := []*cellv1.JobSnapshot{first}
	last := first
	for _, t := range j.Tasks {
		if len(last.Tasks) == maxTasksPerEntry {
			last = &cellv1.JobSnapshot{Job: first.Job}
			entries = append(entries, last)
		}
		last.Tasks = append(last.Tasks, encodeTask(t))
	}
	return entries
}

func encodeTask(t lifecycle.TaskSnapshot) *cellv1.TaskSnapshot {
	out := &cellv1.TaskSnapshot{
		Index: t.Index, State: uint32(t.State), Next: uint32(t.NextAttempt), Ended: uint32(t.LastEnded), LastRan: uint32(t.LastRan), MaySent: t.MaybeSent,
		Evictions: uint32(t.Evictions), Checkpoint: encodeCheckpoint(t.Checkpoint),
		Worker: string(t.Worker), Copied: t.Copied,
	}
	for _, f := range t.Failures {
		out.Failures = append(out.Failures, &cellv1.Failure{
			Attempt: uint32(f.Attempt), Worker: string(f.Worker), Message: f.Message,
		})
	}
	return out
}

func decodeTask(t *cellv1.TaskSnapshot) lifecycle.TaskSnapshot {
	in := lifecycle.TaskSnapshot{
		Index: t.GetIndex(), State: lifecycle.State(t.GetState()), NextAttempt: ident.Attempt(t.GetNext()),
		LastEnded: ident.Attempt(t.GetEnded()), LastRan: ident.Attempt(t.GetLastRan()), MaybeSent: t.GetMaySent(), Evictions: int(t.GetEvictions()), Checkpoint: decodeCheckpoint(t.GetCheckpoint()),
		Worker: ident.WorkerID(t.GetWorker()), Copied: t.GetCopied(),
	}
	for _, f := range t.GetFailures() {
		in.Failures = append(in.Failures, lifecycle.Failure{
			Attempt: ident.Attempt(f.GetAttempt()), Worker: ident.WorkerID(f.GetWorker()), Message: f.GetMessage(),
		})
	}
	return in
}

// DecodeSnapshot decodes and joins the parts of a snapshot.
func (Codec) DecodeSnapshot(parts [][]byte) (lifecycle.Snapshot, error) {
	var s lifecycle.Snapshot
	for _, value := range parts {
		var p cellv1.SnapshotPart
		if err := proto.Unmarshal(value, &p); err != nil {
			return lifecycle.Snapshot{}, fmt.Errorf("snapshot part: %w", err)
		}
		s.LongestLease = max(s.LongestLease, decodeMicroseconds(p.GetLongestLeaseUs()))
		for _, w := range p.GetWorkers() {
			if w.GetSilence() != nil {
				s.Silent = append(s.Silent, decodeSilence(w))
				continue
			}
			s.Workers = append(s.Workers, decodeWorker(w))
		}
		for _, j := range p.GetJobs() {
			s.Jobs = appendJobEntry(s.Jobs, j)
		}
	}
	return s, nil
}

// appendJobEntry adds a job entry to the decoded jobs. An entry with the ID of the last job continues that job.
func appendJobEntry(all []lifecycle.JobSnapshot, j *cellv1.JobSnapshot) []lifecycle.JobSnapshot {
	id := decodeJobID(j.GetJob())
	if n := len(all); n == 0 || all[n-1].Job != id {
		all = append(all, lifecycle.JobSnapshot{
			Job: id, Spec: decodeSpec(j.GetSpec()), AcceptedAt: decodeTime(j.GetAcceptedAtUnixMs()),
			Cancelled: j.GetCancelled(), FinishedAt: decodeTime(j.GetFinishedAtUnixMs()),
		})
	}
	last := &all[len(all)-1]
	for _, t := range j.GetTasks() {
		last.Tasks = append(last.Tasks, decodeTask(t))
	}
	return all
}

// EncodeEstimates returns the value of the key of the owner's estimates.
func (Codec) EncodeEstimates(estimates placement.Estimates) ([]byte, error) {
	out := &cellv1.Learnt{}
	for _, im := range estimates.Images {
		out.Images = append(out.Images, &cellv1.LearntImage{Name: im.Name, Quiet: im.BaselineTail})
	}
	for _, p := range estimates.Pairs {
		out.Pairs = append(out.Pairs, &cellv1.LearntPair{
			Serving: uint32(p.Serving), Filler: uint32(p.Filler), Mean: p.Mean, Variance: p.Variance,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// DecodeEstimates decodes the value of the key of the owner's estimates.
func (Codec) DecodeEstimates(value []byte) (placement.Estimates, error) {
	var in cellv1.Learnt
	if err := proto.Unmarshal(value, &in); err != nil {
		return placement.Estimates{}, fmt.Errorf("estimates: %w", err)
	}
	var estimates placement.Estimates
	for _, im := range in.GetImages() {
		estimates.Images = append(estimates.Images, placement.ImageEstimate{Name: im.GetName(), BaselineTail: im.GetQuiet()})
	}
	for _, p := range in.GetPairs() {
		estimates.Pairs = append(estimates.Pairs, placement.PairEstimate{
			Serving: int(p.GetServing()), Filler: int(p.GetFiller()), Mean: p.GetMean(), Variance: p.GetVariance(),
		})
	}
	return estimates, nil
}
