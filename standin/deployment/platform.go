package deployment

import (
	"fmt"
	"net/http"

	"google.golang.org/grpc"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/load"
	standinlist "github.com/bulrushrelay/bulrushrelay/standin/hostlist"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// The states of targets and workers in the host list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

func (d *Deployment) startTarget(i int) error {
	t, err := target.Start(loopback+":0", d.options.ServiceTime)
	if err != nil {
		return err
	}
	d.closeFuncs = append(d.closeFuncs, func() { _ = t.Close() })
	id := fmt.Sprintf("target-%03d", i)
	t.SetObserver(func(r *http.Request, started bool, inProgress int) {
		event := history.Event{Kind: history.RunFinished, Operation: r.Header.Get(load.HeaderOperation), Target: id}
		if started {
			event.Kind, event.InProgress, event.Capacity = history.RunStarted, inProgress, target.Slots
		}
		d.Recorder.Add(event)
	})
	d.Targets = append(d.Targets, t)
	address, err := d.clientAddress(fmt.Sprintf("target/%d", i), t.Address())
	if err != nil {
		return err
	}
	d.listedHosts = append(d.listedHosts, standinlist.Host{
		ID: id, Address: address, Kind: string(hostlist.Target), DataCentre: d.dataCentre(i), Rack: d.rack(i), State: stateLive,
	})
	return nil
}

func (d *Deployment) startWorker(i int) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("worker-%03d", i)
	w := worker.New(worker.Config{
		ID: ident.WorkerID(id), Rack: ident.Rack(d.rack(i)), Capacity: d.options.WorkerCapacity,
		Interference: d.options.Interference, Recorder: d.Executions,
	})
	server := grpc.NewServer()
	workerv1.RegisterWorkersServer(server, worker.NewServer(w))
	d.closeFuncs = append(d.closeFuncs, server.Stop)
	go func() { _ = server.Serve(l) }()
	d.Workers = append(d.Workers, w)
	address, err := d.clientAddress(fmt.Sprintf("worker/%d", i), l.Addr().String())
	if err != nil {
		return err
	}
	d.listedHosts = append(d.listedHosts, standinlist.Host{
		ID: id, Address: address, Kind: string(hostlist.Worker), DataCentre: d.dataCentre(i), Rack: d.rack(i), State: stateLive,
	})
	return nil
}

// SetLeaving marks a target or worker as leaving, or as live again, in the host list.
func (d *Deployment) SetLeaving(id string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.listedHosts {
		if d.listedHosts[i].ID != id {
			continue
		}
		d.listedHosts[i].State = stateLive
		if leaving {
			d.listedHosts[i].State = stateLeaving
			d.Recorder.Add(history.Event{Kind: history.TargetLeaving, Target: id})
		}
	}
	d.HostList.Set(d.listedHosts)
}
