package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// NextIncarnation returns the incarnation of a process of the host that starts at time now: now itself, or, if the
// clock has jumped back, one above the incarnation of the last process that registered. If that cannot be read, it
// returns now with the error; registration is then refused if a higher incarnation is registered.
func NextIncarnation(ctx context.Context, s store.Store, codec Codec, host ident.HostID, now time.Time) (ident.Incarnation, error) {
	next := ident.Incarnation(now.UnixNano())
	e, ok, err := s.Get(ctx, rosterPrefix+string(host))
	if err != nil || !ok {
		return next, err
	}
	last, err := codec.DecodeMember(e.Value)
	if err != nil {
		return next, fmt.Errorf("decode the registration of %s: %w", host, err)
	}
	return max(next, last.Instance.Incarnation+1), nil
}
