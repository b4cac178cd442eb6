package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrapped refusal losing its proof, and against an unclassified error claiming that nothing ran.
func TestFromKeepsVerdict(t *testing.T) {
	refused := New(NotRun, CodeLimited, "class %s is over its limit", "urgent")
	require.Equal(t, NotRun, FromError(fmt.Errorf("outer: %w", refused)).Verdict)
	require.Equal(t, MayHaveRun, FromError(errors.New("connection reset")).Verdict)
	require.Nil(t, FromError(nil))
}

// Guards against a verdict that does not survive its external form.
func TestParseRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		require.NoError(t, err)
		require.Equal(t, v, got)
	}
	_, err := Parse("maybe")
	require.Error(t, err)
}
