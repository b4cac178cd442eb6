package jobs

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// inboxReadTimeout bounds a read of one key for a call: sixty times the usual answer time of the store.
	inboxReadTimeout = 250 * time.Millisecond
	// repeatWindow is longer than the time in which a client repeats a call under one number: four tries, each of up to 3 s
	// with a Retry-After of up to 4 s.
	repeatWindow = time.Minute
)

// InboxConfig holds the settings of the inboxes. Hosts write jobs there that the owner of their cell does not take in time.
type InboxConfig struct {
	// Store is nil if the deployment uses no inboxes.
	Store Store
	// WritesPerSecond bounds the writes of all hosts together, MaxEntries and MaxBytes the inbox of one cell.
	WritesPerSecond      float64
	MaxEntries, MaxBytes int
	// Hosts returns the number of hosts that share these limits.
	Hosts func() int
}

func (c InboxConfig) enabled() bool {
	return c.Store != nil
}

func inboxPrefix(c ident.CellID) string { return fmt.Sprintf("/cell/%d/inbox/", c) }

func inboxKey(job ident.JobID) string {
	return fmt.Sprintf("%s%016x", inboxPrefix(job.Cell), job.Seq)
}

// inboxEntry is a job in the inbox of its cell.
type inboxEntry struct {
	key  string
	job  ident.JobID
	spec lifecycle.JobSpec
	// writtenAt is a time of day of the host that wrote the entry.
	writtenAt time.Time
	// fault says why the entry cannot be decoded; empty if it can.
	fault string
}

// encodeInboxEntry returns the value of an entry. It has the form of a batch of the cell log.
func encodeInboxEntry(codec Codec, job ident.JobID, spec lifecycle.JobSpec, at time.Time) ([]byte, error) {
	return codec.EncodeBatch(uuid.NewString(), []lifecycle.Record{lifecycle.JobAccepted{Job: job, Spec: spec, At: at}})
}

// decodeInboxEntry returns the entry of a key. ok is false if the key names no job.
func decodeInboxEntry(codec Codec, cell ident.CellID, e store.Entry) (entry inboxEntry, ok bool) {
	number, err := strconv.ParseUint(strings.TrimPrefix(e.Key, inboxPrefix(cell)), 16, 64)
	job := ident.CallerAssignedJobID(cell, number)
	if err != nil || number == 0 || e.Key != inboxKey(job) {
		return inboxEntry{}, false
	}
	entry = inboxEntry{key: e.Key, job: job, spec: lifecycle.JobSpec{ClientNumber: number}}
	_, records, err := codec.DecodeBatch(e.Value)
	if err != nil {
		entry.fault = err.Error()
		return entry, true
	}
	if len(records) == 1 {
		if r, isJob := records[0].(lifecycle.JobAccepted); isJob && r.Job == job && r.Spec.ClientNumber == number && r.Spec.ClientToken == "" {
			entry.spec, entry.writtenAt = r.Spec, r.At
			return entry, true
		}
	}
	entry.fault = "the value does not hold the job of its key"
	return entry, true
}

// readInboxEntry reads the inbox entry of a job. found is false if the key was read and is absent.
func readInboxEntry(ctx context.Context, s Store, codec Codec, job ident.JobID) (entry inboxEntry, found bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, inboxReadTimeout)
	defer cancel()
	e, found, err := s.Get(callCtx, inboxKey(job))
	if err != nil {
		return entry, false, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable,
			"the inbox of cell %d cannot be read: it may hold job %s", job.Cell, job)
	}
	if !found {
		return entry, false, nil
	}
	entry, _ = decodeInboxEntry(codec, job.Cell, e)
	return entry, true, nil
}

// checkSameWork returns an error unless the entry holds the given submission.
func (e inboxEntry) checkSameWork(spec lifecycle.JobSpec) error {
	if e.fault == "" && lifecycle.SameWork(e.spec, spec) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "the number of job %s was used with another specification", e.job)
}
