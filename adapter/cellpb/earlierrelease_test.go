package cellpb

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	cellv1 "github.com/bulrushrelay/bulrushrelay/api/cell/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Guards against a repeat that is refused because its job was recorded by an earlier release, which kept whole milliseconds.
func TestRecordOfAnEarlierReleaseIsTheSameWork(t *testing.T) {
	for _, target := range []time.Duration{0, 300 * time.Microsecond, 37 * time.Millisecond, 37500 * time.Microsecond, time.Hour + 1} {
		spec := lifecycle.JobSpec{Class: "c", ClientNumber: 7, Groups: []lifecycle.TaskGroup{
			{Count: 1, Need: resource.Vector{MilliCPU: 1}, TailTarget: target},
		}}
		value, err := Codec{}.EncodeBatch("m", []lifecycle.Record{
			lifecycle.JobAccepted{Job: ident.CallerAssignedJobID(0, 7), Spec: spec, At: time.Unix(1, 0)},
		})
		require.NoError(t, err)
		var b cellv1.Batch
		require.NoError(t, proto.Unmarshal(value, &b))
		b.GetRecords()[0].GetJobAccepted().GetSpec().GetGroups()[0].TailTargetNs = 0
		value, err = proto.Marshal(&b)
		require.NoError(t, err)
		_, records, err := Codec{}.DecodeBatch(value)
		require.NoError(t, err)
		earlier := records[0].(lifecycle.JobAccepted).Spec
		require.Equal(t, target.Truncate(time.Millisecond), earlier.Groups[0].TailTarget)
		require.True(t, lifecycle.SameWork(earlier, spec), target)
	}
}
