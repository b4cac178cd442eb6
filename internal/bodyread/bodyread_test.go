package bodyread

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that are changed or cut where segments meet.
func TestReceive(t *testing.T) {
	for _, size := range []int{0, 1, firstSegmentBytes - 1, firstSegmentBytes, firstSegmentBytes + 1, 3 * maxSegmentBytes, 1 << 20} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i % 251)
		}
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "half": iotest.HalfReader, "end with data": iotest.DataErrReader,
		} {
			b, err := Receive(wrap(bytes.NewReader(want)))
			require.NoError(t, err)
			require.Equal(t, want, append([]byte{}, b.Bytes()...), "%s %d", name, size)
			b, err = Receive(wrap(bytes.NewReader(want)))
			require.NoError(t, err)
			got, err := io.ReadAll(b)
			require.NoError(t, err)
			require.Equal(t, want, got, "%s %d", name, size)
		}
	}
}

var errBroken = errors.New("broken off")

// Guards against a broken body that passes for a whole one.
func TestReceiveKeepsError(t *testing.T) {
	_, err := Receive(io.MultiReader(bytes.NewReader(make([]byte, 10_000)), iotest.ErrReader(errBroken)))
	require.ErrorIs(t, err, errBroken)
}
