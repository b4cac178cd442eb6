package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// RunPersistentClients sends idempotent requests from clients that do not use a load balancer. Each host has perHost
// clients. A client keeps one connection and sends one request after another over it, whether or not the host is
// healthy. When the host closes the connection or its process dies, the client connects to the same host again. The
// rate of c is that of one client.
func (g *Generator) RunPersistentClients(ctx context.Context, c Class, perHost int) error {
	if _, ok := g.results[c.Name]; !ok || !c.Idempotent || c.Rate <= 0 {
		return fmt.Errorf("class %s: want an idempotent class of the options with a positive rate", c.Name)
	}
	var wg sync.WaitGroup
	for i, host := range g.hosts {
		for j := range perHost {
			wg.Go(func() {
				g.runPersistentClient(ctx, c, host, rand.New(rand.NewPCG(g.options.Seed, uint64(i*perHost+j))))
			})
		}
	}
	wg.Wait()
	return nil
}

func (g *Generator) runPersistentClient(ctx context.Context, c Class, host string, random *rand.Rand) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, MaxConnsPerHost: 1}
	if g.options.Dial != nil {
		transport.DialContext = toDialContext(g.options.Dial)
	}
	transport.DialContext = closeAwareDialer(transport.DialContext)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	end := time.Now().Add(g.options.Duration)
	k := g.results[c.Name]
	for {
		wait := time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
		if time.Now().Add(wait).After(end) || sleep.For(ctx, wait) != nil {
			return
		}
		k.sent.Add(1)
		arrivedAt := time.Now()
		op := &operation{
			id: fmt.Sprintf("%sopen-%s-%d", g.options.RunID, c.Name, g.operationCount.Add(1)), class: c, client: client,
			serviceTime: time.Duration(random.ExpFloat64() * float64(c.MeanServiceTime)),
		}
		switch g.attempt(ctx, op, 1, host).verdict {
		case verdictRan:
			k.recordAnswer(arrivedAt, op.serviceTime)
		case verdictNotRun:
			k.notRun.Add(1)
		default:
			k.unknown.Add(1)
		}
	}
}
