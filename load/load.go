// Package load sends requests and jobs to relay hosts over HTTP in an open loop, and records what callers see.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bulrushrelay/bulrushrelay/history"
)

// HeaderOperation names the operation that a request belongs to. Targets record it and repeat it in their answer.
const HeaderOperation = "X-Operation"

const (
	// highestLatency is the highest value that the histograms can hold.
	highestLatency     = 5 * time.Minute
	significantFigures = 3
	maxRetryPause      = 2 * time.Second
	// keysPerBatch is the number of keys that are fetched together, divided among the hosts.
	keysPerBatch = 100
)

// Class is the load of one class of work.
type Class struct {
	Name string
	// Rate is in operations per second. Arrivals are a Poisson process.
	Rate float64
	// Idempotent is set if the operations are idempotent and therefore sent without a key.
	Idempotent bool
	// Timeout is sent with each request as the caller's time limit.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one operation. It is at least 1.
	MaxAttempts int
	// MeanServiceTime is the mean of the service time at the target, which is exponentially distributed.
	MeanServiceTime time.Duration
	BodyBytes       int
}

// Options describe a run.
type Options struct {
	// Hosts are the base URLs of the relay hosts by host ID. Each attempt goes to a random host, as behind a load
	// balancer.
	Hosts    map[string]string
	Classes  []Class
	Duration time.Duration
	// MaxInProgress bounds the operations in progress. Operations beyond it are not sent and counted as skipped. 0 means
	// 4096.
	MaxInProgress int
	Seed          uint64
	Recorder      *history.Recorder
	// RunID is the prefix of the operation IDs. It distinguishes the operations of several runs in one history.
	RunID string
	// IsHealthy reports whether a host accepts requests, like the health check of a load balancer. Nil means always.
	IsHealthy func(host string) bool
	// Dial replaces the TCP dialer unless it is nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DirectToTargets sends the requests to targets instead of relay hosts, as the baseline of measurements. Hosts are
	// then targets, and each attempt goes to the one of two random targets that has fewer requests in progress.
	DirectToTargets bool
}

// Result is what callers of one class saw.
type Result struct {
	Class    string
	Sent     int64
	Answered int64
	NotRun   int64
	// Unknown counts operations whose last verdict was may-have-run.
	Unknown int64
	Retries int64
	// NoAnswer counts attempts that were sent and got no complete answer: broken connections and timeouts.
	NoAnswer int64
	// Skipped counts operations that were not sent because of MaxInProgress.
	Skipped int64
	// Latency holds the times of answered operations from arrival to answer, in microseconds.
	Latency *hdrhistogram.Histogram
	// Overhead holds the same times without the service time that the target was asked to take.
	Overhead *hdrhistogram.Histogram
}

// counters are the results of one class so far.
type counters struct {
	sent, answered, notRun, unknown, retries, noAnswer, skipped atomic.Int64

	// mu guards the histograms, which are not safe for concurrent use.
	mu                sync.Mutex
	latency, overhead *hdrhistogram.Histogram
}

// Generator sends the load that Options describe.
type Generator struct {
	options Options
	client  *http.Client
	hosts   []string
	keys    *keySource
	results map[string]*counters
	// operationCount numbers the operations.
	operationCount atomic.Uint64
	inProgress     chan struct{}
	// requestsByHost holds the number of requests in progress at each host.
	requestsByHost map[string]*atomic.Int64
}

// New returns a generator for the options. There must be at least one host, and each class needs a positive rate and at
// least one attempt.
func New(options Options) (*Generator, error) {
	if len(options.Hosts) == 0 || len(options.Classes) == 0 {
		return nil, errors.New("load needs at least one host and one class")
	}
	if options.MaxInProgress <= 0 {
		options.MaxInProgress = 4096
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
	}
	if options.Dial != nil {
		transport.DialContext = toDialContext(options.Dial)
	}
	transport.DialContext = closeAwareDialer(transport.DialContext)
	g := &Generator{
		options:        options,
		client:         &http.Client{Transport: transport},
		results:        make(map[string]*counters),
		inProgress:     make(chan struct{}, options.MaxInProgress),
		requestsByHost: make(map[string]*atomic.Int64),
	}
	for host := range options.Hosts {
		g.hosts = append(g.hosts, host)
		g.requestsByHost[host] = new(atomic.Int64)
	}
	// The order of a map differs between runs, but the choice of hosts must depend only on the seed.
	slices.Sort(g.hosts)
	g.keys = &keySource{generator: g, fetchLock: make(chan struct{}, 1)}
	for _, c := range options.Classes {
		if c.Rate <= 0 || c.MaxAttempts < 1 {
			return nil, fmt.Errorf("class %s: rate %g and attempts %d must be positive", c.Name, c.Rate, c.MaxAttempts)
		}
		g.results[c.Name] = &counters{latency: newHistogram(), overhead: newHistogram()}
	}
	return g, nil
}

// toDialContext returns a function for http.Transport.DialContext that dials the address with dial.
func toDialContext(dial func(ctx context.Context, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency.Microseconds(), significantFigures)
}

// recordAnswer counts the answer to an operation that arrived at arrivedAt.
func (k *counters) recordAnswer(arrivedAt time.Time, serviceTime time.Duration) {
	k.answered.Add(1)
	latency := time.Since(arrivedAt)
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.latency.RecordValue(max(1, latency.Microseconds()))
	_ = k.overhead.RecordValue(max(1, (latency - serviceTime).Microseconds()))
}

// Run sends the load, waits for the operations in progress and returns the results.
func (g *Generator) Run(ctx context.Context) []Result {
	defer g.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i, c := range g.options.Classes {
		random := rand.New(rand.NewPCG(g.options.Seed, uint64(i)))
		wg.Go(func() { g.runClass(ctx, c, random) })
	}
	wg.Wait()
	return g.Results()
}

// Results returns the results so far of each class, in the order of the options.
func (g *Generator) Results() []Result {
	var out []Result
	for _, c := range g.options.Classes {
		k := g.results[c.Name]
		k.mu.Lock()
		latency, overhead := hdrhistogram.Import(k.latency.Export()), hdrhistogram.Import(k.overhead.Export())
		k.mu.Unlock()
		out = append(out, Result{
			Class: c.Name, Sent: k.sent.Load(), Answered: k.answered.Load(), NotRun: k.notRun.Load(),
			Unknown: k.unknown.Load(), Retries: k.retries.Load(), Skipped: k.skipped.Load(), Latency: latency,
			Overhead: overhead, NoAnswer: k.noAnswer.Load(),
		})
	}
	return out
}

// runClass starts the operations of one class at their arrival times.
func (g *Generator) runClass(ctx context.Context, c Class, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	runArrivals(ctx, random, c.Rate, g.options.Duration, func(arrivedAt time.Time) {
		select {
		case g.inProgress <- struct{}{}:
		default:
			g.results[c.Name].skipped.Add(1)
			return
		}
		seed := random.Uint64()
		wg.Go(func() {
			defer func() { <-g.inProgress }()
			g.runOperation(ctx, c, arrivedAt, rand.New(rand.NewPCG(seed, 0)))
		})
	})
}

// runArrivals calls start at the times of a Poisson process with the given rate per second, until the duration is over
// or ctx ends. The times do not depend on how long the started work takes, so that a slow system does not reduce its
// own load.
func runArrivals(ctx context.Context, random *rand.Rand, rate float64, duration time.Duration, start func(arrivedAt time.Time)) {
	arrival := time.Now()
	end := arrival.Add(duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if arrival.After(end) {
			return
		}
		timer.Reset(time.Until(arrival))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		start(arrival)
	}
}
