package telemetry

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// RequestMetrics records the outcomes of callers' requests as metrics.
type RequestMetrics struct {
	registry *Registry
}

// NewRequestMetrics returns RequestMetrics that writes to a registry.
func NewRequestMetrics(r *Registry) *RequestMetrics {
	return &RequestMetrics{registry: r}
}

// Request records one finished request. Only answered requests enter the duration histogram, so that quick refusals do
// not make the latency look better.
func (r *RequestMetrics) Request(class ident.ClassName, v verdict.Verdict, code verdict.Code, took time.Duration) {
	classLabel := Label{Name: "class", Value: string(class)}
	result := string(code)
	if result == "" {
		result = "answered"
	}
	r.registry.Counter("requests_total", classLabel, Label{Name: "verdict", Value: v.String()}, Label{Name: "result", Value: result}).Inc(1)
	if code == "" {
		r.registry.Histogram("request_duration_us", classLabel).Update(took.Microseconds())
	}
}

// LateAnswer records an answer that arrived after its caller's deadline.
func (r *RequestMetrics) LateAnswer(class ident.ClassName) {
	r.registry.Counter("late_answers_total", Label{Name: "class", Value: string(class)}).Inc(1)
}

// Executed records a request that finished in a cell of this host. Unlike in Request, took does not include the hop
// between hosts.
func (r *RequestMetrics) Executed(class ident.ClassName, v verdict.Verdict, took time.Duration) {
	classLabel := Label{Name: "class", Value: string(class)}
	r.registry.Counter("cell_requests_total", classLabel, Label{Name: "verdict", Value: v.String()}).Inc(1)
	if v == verdict.Ran {
		r.registry.Histogram("cell_duration_us", classLabel).Update(took.Microseconds())
	}
}

// Retried records a repeated attempt inside a cell.
func (r *RequestMetrics) Retried(class ident.ClassName) {
	r.registry.Counter("cell_retries_total", Label{Name: "class", Value: string(class)}).Inc(1)
}
