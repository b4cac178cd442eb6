package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a key from a caller that causes a panic, is read as another key, or has no issuer.
func FuzzKey(f *testing.F) {
	issuer := ident.Instance{Host: "nelson-1", Incarnation: 1_790_000_000_000_000_000}
	f.Add(newKey(issuer, time.UnixMilli(1_790_000_000_123), [16]byte{1, 2}).String())
	f.Add("k1.a.0.0.00000000000000000000000000000000")
	f.Add("k1.a.ffffffffffffffff.fffffffffffffff.ffffffffffffffffffffffffffffffff")
	f.Add("k1.a.1.1.0000000000000000000000000000000\n")
	f.Add("k2.a.1.1.")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			return
		}
		require.Equal(t, text, key.String())
		require.NotEmpty(t, key.Issuer.Host)
		again, err := ParseKey(key.String())
		require.NoError(t, err)
		require.Equal(t, key, again)
	})
}
