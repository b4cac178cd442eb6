package workergrpc

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// fixedGrant implements jobs.Grants with the same grant for every cell.
type fixedGrant ownership.Grant

func (g fixedGrant) Grant(ident.CellID) ownership.Grant { return ownership.Grant(g) }

// Guards against failures in the interaction of the store, the cell log, the planner and workers over gRPC.
func TestJobsOverGRPC(t *testing.T) {
	recorder := worker.NewRecorder()
	capacity := resource.Vector{MilliCPU: 4000, MemoryMB: 4000}
	var members []lifecycle.Member
	for _, id := range []ident.WorkerID{"w0", "w1"} {
		w := worker.New(worker.Config{ID: id, Capacity: capacity, Recorder: recorder})
		m := serveWorker(t, worker.NewServer(w))
		m.ID = id
		members = append(members, m)
	}
	engine := kv.New(kv.Config{})
	res, err := engine.Txn(background, nil, []store.Op{{Key: "/own/1", Value: []byte("h")}})
	require.NoError(t, err)
	g := ownership.Grant{Cell: 1, Epoch: ident.Epoch(res.Revision), Authority: ownership.Full}
	client := New()
	defer client.Close()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	svc := jobs.New(jobs.Config{
		Store: engine, Codec: cellpb.Codec{}, Workers: client, Grants: fixedGrant(g), Logger: logger,
		NewPlanner: func(c ident.CellID, _ *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: c})
		},
	}, table.New(1, []table.Row{{Name: "batch", Kind: table.Batch}}))
	require.NoError(t, svc.Acquire(background, g, members))
	defer svc.StopCell(1)
	id, err := svc.Submit(background, 1, lifecycle.JobSpec{Class: "batch", Groups: []lifecycle.TaskGroup{
		{Count: 40, Need: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, Command: "work=5ms"},
	}})
	require.NoError(t, err)
	updates, err := svc.Watch(background, id)
	require.NoError(t, err)
	for range updates {
	}
	v, err := svc.Get(background, id, 0, 40)
	require.NoError(t, err)
	require.Empty(t, check.UnfinishedTasks(v))
	require.Empty(t, check.Executions(recorder))
	require.Empty(t, check.Job(recorder, v))
}
