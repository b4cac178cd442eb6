// Package faultlog logs faults in data of other writers once.
package faultlog

import (
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/shard"
)

const (
	logShards = 8
	// maxSubjectsPerShard bounds the subjects that a shard remembers. A full shard forgets all of them, and their
	// faults are logged once more.
	maxSubjectsPerShard = 1024
)

// Log logs unreadable data of other writers. It logs the fault of a subject once, and again when the fault
// changes, because registrations are read with each heartbeat and lists of runs many times a second.
type Log struct {
	log logrus.FieldLogger
	// lastHash holds, for each subject, a hash of the fault that was logged last.
	lastHash *shard.Map[string, uint64]
}

// New returns a Log that has logged nothing yet.
func New(log logrus.FieldLogger) *Log {
	return &Log{log: log, lastHash: shard.NewStringMap[string, uint64](logShards)}
}

// Warn logs the fault of a subject unless the same fault was logged last.
func (f *Log) Warn(subject, fault, message string) {
	hash := xxhash.Sum64String(fault)
	known := false
	f.lastHash.WithShard(subject, func(last map[string]uint64) {
		if len(last) >= maxSubjectsPerShard {
			clear(last)
		}
		before, ok := last[subject]
		known = ok && before == hash
		last[subject] = hash
	})
	if !known {
		f.log.WithFields(logrus.Fields{"subject": Truncate(subject), "fault": Truncate(fault)}).Warn(message)
	}
}

// Clear forgets the fault of a subject that can be read again.
func (f *Log) Clear(subject string) {
	f.lastHash.Delete(subject)
}

// MaxQuotedBytes bounds how much of a text from another writer is quoted in a log line or error.
const MaxQuotedBytes = 200

// Truncate returns at most MaxQuotedBytes of a text, with "..." if it is cut.
func Truncate(s string) string {
	if len(s) <= MaxQuotedBytes {
		return s
	}
	return s[:MaxQuotedBytes] + "..."
}
