package workergrpc

import (
	"context"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Reaches reports whether a worker answers this host. The call is a sync under epoch 0, which no owner has: a claimed worker
// refuses it, and one that was never claimed has nothing to renew or to report.
func (c *Client) Reaches(ctx context.Context, m lifecycle.Member) bool {
	_, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.SyncReply, error) {
		return w.Sync(ctx, &workerv1.SyncRequest{})
	})
	return answer.Outcome != lifecycle.Unknown && answer.Reason != lifecycle.ReasonUnsent
}
