package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// Guards against hosts with different cell layouts, which would own the same workers, and with different key
// retentions, which would run a request twice after a hand-over; also when the answer to the first write is lost.
func TestFirstHostFixesSharedSettings(t *testing.T) {
	engine := kv.New(kv.Config{})
	first := engine.Client("a")
	first.SetFault(kv.Fault{LoseAfter: 1})
	checkedStore := newVerifyingStore(first, validSettings().sharedSettings())
	_, err := checkedStore.Grant(t.Context(), time.Second)
	require.Error(t, err, "the answer was lost")
	_, err = checkedStore.Grant(t.Context(), time.Second)
	require.NoError(t, err)

	for _, c := range []struct {
		change func(*Settings)
		want   error
	}{
		{func(s *Settings) { s.Cells++ }, ErrLayoutMismatch},
		{func(s *Settings) { s.KeyRetention += time.Millisecond }, ErrRetentionMismatch},
		{func(s *Settings) { s.KeyRetention -= time.Millisecond }, ErrRetentionMismatch},
	} {
		other := validSettings()
		c.change(&other)
		refused := newVerifyingStore(engine.Client("b"), other.sharedSettings())
		_, err = refused.Grant(t.Context(), time.Second)
		require.ErrorIs(t, err, c.want)
		require.ErrorIs(t, <-refused.mismatch, c.want)
	}

	same := newVerifyingStore(engine.Client("c"), validSettings().sharedSettings())
	_, err = same.Grant(t.Context(), time.Second)
	require.NoError(t, err)
}

// Guards against a host that joins a deployment of an earlier version, whose hosts accept keys for 24 h, with another
// retention.
func TestRetentionMatchesEarlierVersion(t *testing.T) {
	engine := kv.New(kv.Config{})
	client := engine.Client("a")
	_, err := client.Txn(t.Context(), nil, []store.Op{{Key: layoutKey, Value: []byte(validSettings().layout())}})
	require.NoError(t, err)
	checkedStore := newVerifyingStore(client, validSettings().sharedSettings())
	_, err = checkedStore.Grant(t.Context(), time.Second)
	require.ErrorIs(t, err, ErrRetentionMismatch)

	s := validSettings()
	s.KeyRetention = 24 * time.Hour
	checkedStore = newVerifyingStore(client, s.sharedSettings())
	_, err = checkedStore.Grant(t.Context(), time.Second)
	require.NoError(t, err)
}
