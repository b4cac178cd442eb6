package deployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// evacuationBound is the setting of the hosts: the time from a request for an evacuation until nothing more may start.
const evacuationBound = 5 * time.Second

// evacuation is a request for an evacuation that was acknowledged. stoppedAt is zero until its withdrawal is requested.
type evacuation struct {
	dataCentre           string
	startedAt, stoppedAt time.Time
}

// StartEvacuation requests the evacuation of a data centre through a random host, and repeats that until ctx ends.
func (d *Deployment) StartEvacuation(ctx context.Context, dc string) error {
	err := d.operate(ctx, func(c *operatorhttp.Client) error {
		_, err := c.StartEvacuation(ctx, dc, "stand-in deployment")
		return err
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuations = append(d.evacuations, evacuation{dataCentre: dc, startedAt: time.Now()})
	return nil
}

// StopEvacuation withdraws the request for a data centre through a random host.
func (d *Deployment) StopEvacuation(ctx context.Context, dc string) error {
	d.mu.Lock()
	for i := range d.evacuations {
		if e := &d.evacuations[i]; e.dataCentre == dc && e.stoppedAt.IsZero() {
			e.stoppedAt = time.Now()
		}
	}
	d.mu.Unlock()
	return d.operate(ctx, func(c *operatorhttp.Client) error { return c.StopEvacuation(ctx, dc) })
}

// operate calls f with the client of a running host until it succeeds, is refused for good, or ctx ends.
func (d *Deployment) operate(ctx context.Context, f func(c *operatorhttp.Client) error) error {
	err := errors.New("no relay host is running")
	for {
		for _, i := range rand.Perm(len(d.Hosts)) {
			if d.Hosts[i].Running() {
				err = f(d.Hosts[i].OperatorClient())
				break
			}
		}
		if err == nil || !isRetryable(err) && !errors.Is(err, operatorhttp.ErrNoAnswer) || sleep.For(ctx, tableRetryInterval) != nil {
			return err
		}
	}
}

// StartsUnderEvacuation describes the starts in data centres after the bound of their evacuation.
func (d *Deployment) StartsUnderEvacuation() (late []string) {
	d.mu.Lock()
	evacuations := append([]evacuation(nil), d.evacuations...)
	d.mu.Unlock()
	for _, x := range d.Executions.Executions() {
		for _, e := range evacuations {
			after := x.StartedAt.Sub(e.startedAt)
			inForce := after > evacuationBound && (e.stoppedAt.IsZero() || x.StartedAt.Before(e.stoppedAt))
			if inForce && d.workerCentre(x.Worker) == e.dataCentre {
				late = append(late, fmt.Sprintf("task %s on %s in %s, %s after the request", x.Task, x.Worker, e.dataCentre, after))
			}
		}
	}
	return late
}

// workerCentre returns the data centre of a worker.
func (d *Deployment) workerCentre(id ident.WorkerID) string {
	var i int
	if _, err := fmt.Sscanf(strings.TrimPrefix(string(id), "worker-"), "%d", &i); err != nil {
		return ""
	}
	return d.dataCentre(i)
}
