package action

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

func (a *Actions) findHost(name string) (*deployment.Host, error) {
	for _, h := range a.Deployment.Hosts {
		if h.ID() == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host %q", name)
}

// host changes a relay host: host kill|pause|resume|hang-up|strong|drain|start|ready NAME. A drain continues in the
// background.
func (a *Actions) host(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return errors.New("want an action and a host")
	}
	h, err := a.findHost(args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "kill":
		return h.Kill(ctx)
	case "pause":
		return h.Pause()
	case "resume":
		return h.Resume()
	case "strong":
		// The next process of the host announces as much processor time as the strongest hosts have.
		h.SetMilliCPU(a.Deployment.StrongMilliCPU())
		return nil
	case "hang-up":
		return h.HangUp()
	case "start":
		return h.Start()
	case "ready":
		return h.AwaitReady(ctx)
	case "drain":
		result := make(chan error, 1)
		a.drainResults[h.ID()] = result
		go func() {
			drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			result <- h.Drain(drainCtx)
		}()
		return nil
	default:
		return fmt.Errorf("action %q: want kill, pause, resume, hang-up, strong, drain, start or ready", args[0])
	}
}

// waitDrain waits for the end of a drain and fails unless the process exited with code 0: wait_drain HOST.
func (a *Actions) waitDrain(ctx context.Context, args []string) error {
	if len(args) != 1 || a.drainResults[args[0]] == nil {
		return errors.New("want a host that is draining")
	}
	select {
	case err := <-a.drainResults[args[0]]:
		delete(a.drainResults, args[0])
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// proxy changes a proxy: proxy PLACE STATE. The places are those of the deployment's proxies, the states are the values
// of network.ProxyState.
func (a *Actions) proxy(_ context.Context, args []string) error {
	if len(args) != 2 {
		return errors.New("want a place and a state")
	}
	p, ok := a.Deployment.Proxies[args[0]]
	if !ok {
		return fmt.Errorf("no proxy at %q", args[0])
	}
	return p.Set(network.ProxyState(args[1]))
}

// links cuts or restores the links between data centres: links cut|restore A B.
func (a *Actions) links(_ context.Context, args []string) error {
	if len(args) != 3 || (args[0] != "cut" && args[0] != "restore") {
		return errors.New("want cut or restore, and two data centres")
	}
	return a.Deployment.SetCut(args[1], args[2], args[0] == "cut")
}

// store sets the fault of the key-value service as seen by one host or by all: store up|down|hang|slow|lose [HOST].
func (a *Actions) store(_ context.Context, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return errors.New("want a state and at most one host")
	}
	f, err := ParseStoreFault(args[0])
	if err != nil {
		return err
	}
	for _, h := range a.Deployment.Hosts {
		if len(args) == 1 || h.ID() == args[1] {
			h.Session.SetFault(f)
		}
	}
	return nil
}

// ParseStoreFault returns the store fault with a name: up (no fault), down, hang, slow or lose.
func ParseStoreFault(name string) (kv.Fault, error) {
	switch name {
	case "up":
		return kv.Fault{}, nil
	case "down":
		return kv.Fault{Down: true}, nil
	case "hang":
		return kv.Fault{Hang: true}, nil
	case "slow":
		return kv.Fault{Delay: 400 * time.Millisecond}, nil
	case "lose":
		return kv.Fault{LoseAfter: 5}, nil
	default:
		return kv.Fault{}, fmt.Errorf("state %q: want up, down, hang, slow or lose", name)
	}
}

// target changes target number N: target leave N, target live N, or target fault N KIND.
func (a *Actions) target(_ context.Context, args []string) error {
	if len(args) < 2 {
		return errors.New("want an action and the number of a target")
	}
	var n int
	if _, err := fmt.Sscan(args[1], &n); err != nil || n < 0 || n >= len(a.Deployment.Targets) {
		return fmt.Errorf("target %q: want 0 to %d", args[1], len(a.Deployment.Targets)-1)
	}
	switch {
	case args[0] == "leave" && len(args) == 2:
		a.Deployment.SetLeaving(fmt.Sprintf("target-%03d", n), true)
	case args[0] == "live" && len(args) == 2:
		a.Deployment.SetLeaving(fmt.Sprintf("target-%03d", n), false)
	case args[0] == "fault" && len(args) == 3:
		kind := target.Fault(args[2])
		if args[2] == "none" {
			kind = target.FaultNone
		}
		a.Deployment.Targets[n].SetFault(kind)
	default:
		return errors.New("want leave N, live N or fault N KIND")
	}
	return nil
}

// worker changes worker number N: worker crash N, or worker fault N fail|none.
func (a *Actions) worker(_ context.Context, args []string) error {
	if len(args) < 2 {
		return errors.New("want an action and the number of a worker")
	}
	var n int
	if _, err := fmt.Sscan(args[1], &n); err != nil || n < 0 || n >= len(a.Deployment.Workers) {
		return fmt.Errorf("worker %q: want 0 to %d", args[1], len(a.Deployment.Workers)-1)
	}
	switch strings.Join(append([]string{args[0]}, args[2:]...), " ") {
	case "crash":
		a.Deployment.Workers[n].Crash()
	case "fault fail":
		a.Deployment.Workers[n].SetFault(worker.Fault{FailAll: true})
	case "fault none":
		a.Deployment.Workers[n].SetFault(worker.Fault{})
	default:
		return errors.New("want crash N, or fault N fail|none")
	}
	return nil
}
