package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
)

// JobClass is the load of jobs of one class.
type JobClass struct {
	Name string
	// Rate is in jobs per second. Arrivals are a Poisson process.
	Rate  float64
	Group jobhttp.Group
}

// SubmittedJob is a job that a relay host accepted.
type SubmittedJob struct {
	ID    string
	Class string
	Tasks int
	// SubmittedAt is when the submission was sent.
	SubmittedAt time.Time
	// CancelSentAt is when the first request to cancel the job was sent; zero if none was.
	CancelSentAt time.Time
}

// JobClient submits jobs to random hosts and keeps a list of those that were accepted. It is safe for concurrent use.
type JobClient struct {
	hosts  []string
	client *http.Client

	// mu guards the fields below.
	mu       sync.Mutex
	accepted []SubmittedJob
	refused  map[string]int
	unknown  map[string]int
	// lastError is the message of the service or the client about the last submission that was not accepted.
	lastError string
}

// NewJobClient returns a client for the relay hosts with the given base URLs.
func NewJobClient(hosts map[string]string) *JobClient {
	j := &JobClient{client: &http.Client{Timeout: 15 * time.Second}, refused: make(map[string]int), unknown: make(map[string]int)}
	for _, base := range hosts {
		j.hosts = append(j.hosts, base)
	}
	return j
}

// DialWith replaces the TCP dialer. It must be called before the first job.
func (j *JobClient) DialWith(dial func(ctx context.Context, address string) (net.Conn, error)) {
	j.client.Transport = &http.Transport{DialContext: toDialContext(dial)}
}

// Close closes the idle connections.
func (j *JobClient) Close() {
	j.client.CloseIdleConnections()
}

// Run submits jobs of a class until the duration is over or ctx ends, and waits for the answers.
func (j *JobClient) Run(ctx context.Context, c JobClass, duration time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	var wg sync.WaitGroup
	defer wg.Wait()
	runArrivals(ctx, random, c.Rate, duration, func(time.Time) {
		base := j.hosts[random.IntN(len(j.hosts))]
		wg.Go(func() { j.submit(ctx, base, c) })
	})
}

// Submit submits one job to a random host.
func (j *JobClient) Submit(ctx context.Context, c JobClass) {
	j.submit(ctx, j.hosts[rand.IntN(len(j.hosts))], c)
}

func (j *JobClient) submit(ctx context.Context, base string, c JobClass) {
	began := time.Now()
	id, verdict, message := j.post(ctx, base, c)
	j.mu.Lock()
	defer j.mu.Unlock()
	if message != "" {
		j.lastError = message
	}
	switch verdict {
	case verdictRan:
		j.accepted = append(j.accepted, SubmittedJob{ID: id, Class: c.Name, Tasks: c.Group.Count, SubmittedAt: began})
	case verdictNotRun:
		j.refused[c.Name]++
	default:
		j.unknown[c.Name]++
	}
}

func (j *JobClient) post(ctx context.Context, base string, c JobClass) (id, verdict, message string) {
	body, err := json.Marshal(jobhttp.Submission{Class: c.Name, Groups: []jobhttp.Group{c.Group}})
	if err != nil {
		return "", verdictNotRun, err.Error()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return "", verdictNotRun, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := j.client.Do(r)
	if err != nil {
		return "", verdictMayHaveRun, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		jobhttp.SubmitResult
		Message string `json:"message"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return "", verdictMayHaveRun, err.Error()
	}
	return reply.Job, response.Header.Get(jobhttp.VerdictHeader), reply.Message
}

// LastError returns the message about the last submission that was not accepted, or "" if there was none.
func (j *JobClient) LastError() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastError
}

// AcceptedJobs returns a copy of the list of accepted jobs so far.
func (j *JobClient) AcceptedJobs() []SubmittedJob {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]SubmittedJob(nil), j.accepted...)
}

// FailureCounts returns how many submissions of a class were refused and how many have an unknown outcome.
func (j *JobClient) FailureCounts(class string) (refused, unknown int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.refused[class], j.unknown[class]
}

// JobState reads a job from a random host.
func (j *JobClient) JobState(ctx context.Context, id string) (jobhttp.Job, error) {
	var job jobhttp.Job
	base := j.hosts[rand.IntN(len(j.hosts))]
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/jobs/"+id+"?tasks=0", nil)
	if err != nil {
		return job, err
	}
	response, err := j.client.Do(r)
	if err != nil {
		return job, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return job, fmt.Errorf("job %s: status %d", id, response.StatusCode)
	}
	return job, json.NewDecoder(response.Body).Decode(&job)
}

// Cancel cancels a job through a random host.
func (j *JobClient) Cancel(ctx context.Context, id string) error {
	j.noteCancelSent(id)
	base := j.hosts[rand.IntN(len(j.hosts))]
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+"/v1/jobs/"+id, nil)
	if err != nil {
		return err
	}
	response, err := j.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("cancel job %s: status %d", id, response.StatusCode)
	}
	return nil
}

func (j *JobClient) noteCancelSent(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.accepted {
		if a := &j.accepted[i]; a.ID == id && a.CancelSentAt.IsZero() {
			a.CancelSentAt = time.Now()
		}
	}
}
