package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrapped NotRun error losing its verdict, and against an error without a verdict being taken for
// NotRun.
func TestFromErrorKeepsVerdict(t *testing.T) {
	refused := New(NotRun, CodeLimited, "class %s is over its limit", "urgent")
	require.Equal(t, NotRun, FromError(fmt.Errorf("outer: %w", refused)).Verdict)
	require.Equal(t, MayHaveRun, FromError(errors.New("connection reset")).Verdict)
	require.Nil(t, FromError(nil))
}

// Guards against a verdict that changes on a round trip through its external form.
func TestParseRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		require.NoError(t, err)
		require.Equal(t, v, got)
	}
	_, err := Parse("maybe")
	require.Error(t, err)
}
