package table

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Bounds of the texts in the record of a revision.
const (
	MaxAuthorBytes = 100
	MaxReasonBytes = 500
	// MinNonceBytes makes it unlikely that two changes choose the same nonce by accident.
	MinNonceBytes = 16
	MaxNonceBytes = 64
)

// Record is the history entry of one revision.
type Record struct {
	Revision Revision
	Delta    Delta
	Author   string
	// Time is the time of the commit on the clock of the committing host, in whole milliseconds.
	Time   time.Time
	Reason string
	Marker Marker
	// Digest is the digest of the rows after the revision.
	Digest Digest
}

// Snapshot is a whole table with the digest given by its sender.
type Snapshot struct {
	Table  *Table
	Digest Digest
}

// Verify returns an error if the rows do not match the digest. It does not validate the rows again: they were validated
// when they were committed, and a version of the program with other bounds must be able to read the current table.
func (s Snapshot) Verify() error {
	if s.Table.Digest() != s.Digest {
		return fmt.Errorf("snapshot of revision %d does not match its digest", s.Table.revision)
	}
	return nil
}

// ApplyRecord returns the table after the record. It fails if the record does not follow t, or if the digest of the
// result differs from that of the record.
func (t *Table) ApplyRecord(r Record) (*Table, error) {
	if r.Revision != t.revision+1 {
		return nil, fmt.Errorf("revision %d does not follow %d", r.Revision, t.revision)
	}
	next, err := t.Apply(r.Revision, r.Delta)
	if err != nil {
		return nil, err
	}
	if next.Digest() != r.Digest {
		return nil, fmt.Errorf("revision %d does not match its digest", r.Revision)
	}
	return next, nil
}

// RevertRecord returns the table before the record. It fails if the record is not the one that led to t.
func (t *Table) RevertRecord(r Record) (*Table, error) {
	if r.Revision != t.revision || r.Revision == 0 {
		return nil, fmt.Errorf("revision %d does not lead to %d", r.Revision, t.revision)
	}
	return t.Apply(r.Revision-1, r.Delta.Inverse())
}

// Marker identifies one write by the revision that it is to create and a nonce. The revision tells where to look for
// the outcome of a write whose answer was lost.
type Marker struct {
	Revision Revision
	Nonce    string
}

// String returns the external form <revision>-<nonce>.
func (m Marker) String() string {
	return strconv.FormatUint(uint64(m.Revision), 10) + "-" + m.Nonce
}

// ParseMarker parses the external form of a Marker.
func ParseMarker(s string) (Marker, error) {
	number, nonce, found := strings.Cut(s, "-")
	revision, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || revision == 0 {
		return Marker{}, fmt.Errorf("marker %.80q: want <revision>-<nonce>", s)
	}
	if err := CheckNonce(nonce); err != nil {
		return Marker{}, err
	}
	return Marker{Revision: Revision(revision), Nonce: nonce}, nil
}

// CheckNonce returns an error if the nonce of a marker has a wrong length or other characters than a-z A-Z 0-9 -.
func CheckNonce(nonce string) error {
	if len(nonce) < MinNonceBytes || len(nonce) > MaxNonceBytes {
		return fmt.Errorf("nonce of %d characters; want %d to %d", len(nonce), MinNonceBytes, MaxNonceBytes)
	}
	for _, ch := range []byte(nonce) {
		if (ch < 'a' || ch > 'z') && (ch < 'A' || ch > 'Z') && (ch < '0' || ch > '9') && ch != '-' {
			return fmt.Errorf("nonce %q is not made of a-z A-Z 0-9 -", nonce)
		}
	}
	return nil
}

// CheckAuthorAndReason returns every fault in the author and the reason of a change.
func CheckAuthorAndReason(author, reason string) Faults {
	var faults Faults
	check := func(what, text string, maxBytes int) {
		switch {
		case strings.TrimSpace(text) == "":
			faults = append(faults, Fault{Message: what + " is blank; a value is required"})
		case len(text) > maxBytes:
			faults = append(faults, Fault{Message: fmt.Sprintf("%s has %d bytes; at most %d are allowed", what, len(text), maxBytes)})
		case strings.ContainsFunc(text, unicode.IsControl), strings.ToValidUTF8(text, "") != text:
			faults = append(faults, Fault{Message: what + " has control characters or is not UTF-8"})
		}
	}
	check("author", author, MaxAuthorBytes)
	check("reason", reason, MaxReasonBytes)
	return faults
}
