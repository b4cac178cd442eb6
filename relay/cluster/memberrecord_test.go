package cluster_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
)

// lateMemberStore executes the next write of a member record late, and loses its answer.
type lateMemberStore struct {
	store.Store
	delay time.Duration
	armed atomic.Bool
}

func (s *lateMemberStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if !strings.HasPrefix(ops[0].Key, cluster.MemberPrefix) || !s.armed.CompareAndSwap(true, false) {
		return s.Store.Txn(ctx, compares, ops)
	}
	time.AfterFunc(s.delay, func() { _, _ = s.Store.Txn(context.Background(), compares, ops) })
	<-ctx.Done()
	return store.TxnResult{}, store.NewError("Txn", store.Unknown, ctx.Err())
}

// Guards against a host that takes no cells after a restart: a write of its earlier process, which the store executes
// late, replaces its member record, and the record then ends with the lease of that process.
func TestLateMemberRecordOfAnEarlierProcess(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		late := &lateMemberStore{Store: f.store.Client(hostName(0)), delay: 5 * time.Second}
		f.launch(0, 1, func(c *cluster.Config) { c.Store = late })
		f.launch(1, 1)
		f.launch(2, 1)
		f.checkFor(40 * time.Second)
		entry, ok, err := f.store.Get(context.Background(), cluster.MemberPrefix+hostName(0))
		require.NoError(t, err)
		require.True(t, ok)

		late.armed.Store(true)
		f.store.ExpireLease(entry.Lease)
		for late.armed.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		f.crash(0)
		f.launch(0, 2)
		f.checkFor(2 * time.Minute)

		entry, ok, err = f.store.Get(context.Background(), cluster.MemberPrefix+hostName(0))
		require.NoError(t, err)
		require.True(t, ok, "the present process is registered")
		record, err := clusterrecord.Codec{}.DecodeMember(entry.Value)
		require.NoError(t, err)
		require.EqualValues(t, 2, record.Instance.Incarnation)
		require.Equal(t, []string{hostName(0)}, f.fullOwners(0))
	})
}
