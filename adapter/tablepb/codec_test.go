package tablepb

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// largestRows returns the maximum number of rows, each with the longest possible encoding.
func largestRows(prefix string) []table.Row {
	rows := make([]table.Row, table.MaxRows)
	for i := range rows {
		name := fmt.Sprintf("%s%04d", prefix, i)
		name += strings.Repeat("x", table.MaxNameBytes-len(name))
		rows[i] = table.Row{
			Name: ident.ClassName(name), Tenant: ident.TenantName(name), Kind: table.Batch, Idempotent: true,
			Weight: 10_000, Rate: 999_999.999, Concurrency: 1_000_000, Queue: 100_000, Deadline: 24 * time.Hour,
			Resources: resource.Vector{MilliCPU: 10_000_000_000, MemoryMB: 10_000_000_000, Accelerators: 1_000_000},
			Retries:   100, Evictions: 1000,
		}
	}
	return rows
}

// Guards against a valid table whose encoding exceeds the store's limit of 1 MB a value, and against values that change
// when they are encoded and decoded.
func TestLargestValuesFitTheStore(t *testing.T) {
	from, to := table.New(1, largestRows("a")), table.New(2, largestRows("b"))
	require.Empty(t, table.Validate(to.Rows()))
	marker := table.Marker{Revision: 2, Nonce: strings.Repeat("n", table.MaxNonceBytes)}
	record := table.Record{
		Revision: 2, Delta: table.Diff(from, to), Author: strings.Repeat("a", table.MaxAuthorBytes),
		Reason: strings.Repeat("r", table.MaxReasonBytes), Time: time.UnixMilli(1_790_000_000_123).UTC(),
		Marker: marker, Digest: to.Digest(),
	}
	data, err := Codec{}.EncodeRecord(record)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), store.MaxValueBytes)
	t.Logf("largest record: %d bytes", len(data))
	decoded, err := Codec{}.DecodeRecord(data)
	require.NoError(t, err)
	require.Equal(t, record, decoded)

	data, err = Codec{}.EncodeSnapshot(table.Snapshot{Table: to, Digest: to.Digest()})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), store.MaxValueBytes)
	snapshot, err := Codec{}.DecodeSnapshot(data)
	require.NoError(t, err)
	require.NoError(t, snapshot.Verify())

	head := config.Head{Revision: 2, Marker: marker, Digest: to.Digest(), ChangesSinceSnapshot: 7}
	data, err = Codec{}.EncodeHead(head)
	require.NoError(t, err)
	decodedHead, err := Codec{}.DecodeHead(data)
	require.NoError(t, err)
	require.Equal(t, head, decodedHead)
}

// Guards against a stored value or a message from a peer that causes a panic.
func FuzzDecode(f *testing.F) {
	data, _ := Codec{}.EncodeRecord(table.Record{
		Revision: 1, Delta: table.Delta{{Name: "a", After: &table.Row{Name: "a"}}},
		Marker: table.Marker{Revision: 1, Nonce: "0123456789abcdef"},
	})
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte("\x08\x01\x12\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = Codec{}.DecodeHead(data)
		if s, err := (Codec{}).DecodeSnapshot(data); err == nil {
			_ = s.Verify()
		}
		r, err := Codec{}.DecodeRecord(data)
		if err != nil {
			return
		}
		_, _ = table.New(r.Revision-1, nil).ApplyRecord(r)
	})
}
