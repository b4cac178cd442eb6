package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
)

// incarnationReadTimeout bounds the read of the last incarnation at the start.
const incarnationReadTimeout = 500 * time.Millisecond

// nextInstance returns the identity of a process of the host that starts now. Its incarnation is the time of day, or
// one above that of the last process if the clock has been set back since. If the store does not answer in time, the
// incarnation is derived from the clock alone.
func nextInstance(host ident.HostID, s store.Store, log *logrus.Entry) ident.Instance {
	ctx, cancel := context.WithTimeout(context.Background(), incarnationReadTimeout)
	defer cancel()
	next, err := cluster.NextIncarnation(ctx, s, clusterrecord.Codec{}, host, time.Now())
	if err != nil {
		log.WithError(err).Warn("cannot read the last incarnation of this host: the new one is derived from the clock alone")
	}
	return ident.Instance{Host: host, Incarnation: next}
}
