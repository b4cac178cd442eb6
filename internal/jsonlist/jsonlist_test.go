package jsonlist

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type element struct{ A int }

// Guards against an array of very many small elements that is decoded as a whole before it is found too long, and against
// arrays that are decoded differently than without a bound.
func TestDecode(t *testing.T) {
	got, err := Decode[element]([]byte(` [{"A":1}, {"A":2}] `), 2, true)
	require.NoError(t, err)
	require.Equal(t, []element{{1}, {2}}, got)
	got, err = Decode[element]([]byte("null"), 2, true)
	require.NoError(t, err)
	require.Nil(t, got)
	got, err = Decode[element]([]byte(`[{"B":1}]`), 2, false)
	require.NoError(t, err)
	require.Len(t, got, 1)
	for _, bad := range []string{`{}`, `7`, `"a"`, `[{"B":1}]`, `[{"A":"x"}]`, `[{},{},{}]`} {
		_, err := Decode[element]([]byte(bad), 2, true)
		require.Error(t, err, bad)
	}
	many := []byte("[" + strings.Repeat("{},", 100_000) + "{}]")
	allocated := testing.AllocsPerRun(1, func() {
		_, err := Decode[element](many, 64, true)
		require.ErrorContains(t, err, "more than 64 elements")
	})
	require.Less(t, allocated, 1000.0)
}
