package decisionlog

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against lines that differ from those of logrus.JSONFormatter, which readers of the log may not parse.
func TestLinesMatchTheLogrusJSONFormatter(t *testing.T) {
	values := []any{
		nil, true, -7, int64(1) << 60, uint64(1) << 63, 0.5, 3 * time.Second, "plain", "quote \" < > & \\ \x00 é \u2028 \xff",
		errors.New("refused: \"x\""), ident.Epoch(9), ident.WorkerID("w1"), ident.WorkerID("é"), netip.MustParseAddr("127.0.0.1"),
		[]int{1, 2},
		map[string]int{"a": 1},
		customJSON{},
		ident.Attempt(3),
	}
	rapid.Check(t, func(t *rapid.T) {
		e := logrus.NewEntry(logrus.New())
		e.Time = time.Unix(rapid.Int64Range(0, 1<<32).Draw(t, "time"), 5)
		e.Message = rapid.String().Draw(t, "message")
		e.Level = logrus.Level(rapid.IntRange(2, 5).Draw(t, "level"))
		for range rapid.IntRange(0, 8).Draw(t, "fields") {
			name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"job", "msg", "time", "a<b"})).Draw(t, "name")
			e.Data[name] = rapid.SampledFrom(values).Draw(t, "value")
		}
		want, err := (&logrus.JSONFormatter{}).Format(e)
		require.NoError(t, err)
		got, err := (&Formatter{}).Format(e)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}

// customJSON implements json.Marshaler.
type customJSON struct{}

func (customJSON) MarshalJSON() ([]byte, error) { return []byte(`{"x":0}`), nil }

// Guards against a value that cannot be encoded and makes the whole line disappear without an error.
func TestUnencodableValueIsAnError(t *testing.T) {
	e := logrus.NewEntry(logrus.New())
	e.Data["x"] = func() {}
	_, err := (&Formatter{}).Format(e)
	require.Error(t, err)
}
