package ident

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the id of a copy that is that of another task of the job.
func TestCopyIDIsDistinct(t *testing.T) {
	const largestMember, largestGroup = 20_000 - 1, 64 - 1
	for _, index := range []uint32{0, TaskIndex(0, largestMember), TaskIndex(largestGroup, 0), TaskIndex(largestGroup, largestMember)} {
		id := TaskID{Job: JobID{Cell: 3, Epoch: 12, Seq: 900}, Index: index}
		require.NotEqual(t, id, id.Copy())
		require.Equal(t, id.Group(), id.Copy().Group())
		require.Greater(t, id.Copy().Member(), largestMember)
		require.Equal(t, id, id.Copy().Original())
		require.Equal(t, id, id.Original())
		require.Equal(t, id.Copy(), id.Copy().Copy())
	}
}
