// Package telemetry keeps counters, gauges and histograms in go-metrics, and serves them as JSON and in the Prometheus
// text format.
package telemetry

import (
	"fmt"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize bounds the samples that a histogram keeps in memory. reservoirAlpha weights them so that a histogram
	// represents about the last five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015

	labelSeparator = "|"
	valueSeparator = "="
)

// Label is one dimension of a metric.
type Label struct {
	Name  string
	Value string
}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	metrics metrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{metrics: metrics.NewRegistry()}
}

// Counter returns the counter with the name and labels, created on first use.
func (r *Registry) Counter(name string, labels ...Label) metrics.Counter {
	return r.metrics.GetOrRegister(formatKey(name, labels), metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge with the name and labels, created on first use.
func (r *Registry) Gauge(name string, labels ...Label) metrics.Gauge {
	return r.metrics.GetOrRegister(formatKey(name, labels), metrics.NewGauge).(metrics.Gauge)
}

// Histogram returns the histogram with the name and labels, created on first use. The name ends with the unit of the
// values.
func (r *Registry) Histogram(name string, labels ...Label) metrics.Histogram {
	return r.metrics.GetOrRegister(formatKey(name, labels), newHistogram).(metrics.Histogram)
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

func formatKey(name string, labels []Label) string {
	var b strings.Builder
	b.WriteString(name)
	for _, l := range labels {
		b.WriteString(labelSeparator)
		b.WriteString(l.Name)
		b.WriteString(valueSeparator)
		b.WriteString(l.Value)
	}
	return b.String()
}

func parseKey(s string) (name string, labels []Label) {
	parts := strings.Split(s, labelSeparator)
	for _, part := range parts[1:] {
		k, v, _ := strings.Cut(part, valueSeparator)
		labels = append(labels, Label{Name: k, Value: v})
	}
	return parts[0], labels
}

// Sample is the current state of one metric.
type Sample struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Value is set for counters and gauges.
	Value *int64 `json:"value,omitempty"`
	// Quantiles is set for histograms: p50, p90, p99 and p99.9.
	Quantiles map[string]float64 `json:"quantiles,omitempty"`
	Count     int64              `json:"count,omitempty"`
	Max       int64              `json:"max,omitempty"`
}

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Samples returns the state of every metric, in no particular order.
func (r *Registry) Samples() []Sample {
	var out []Sample
	r.metrics.Each(func(k string, m any) {
		name, labels := parseKey(k)
		s := Sample{Name: name, Labels: map[string]string{}}
		for _, l := range labels {
			s.Labels[l.Name] = l.Value
		}
		switch m := m.(type) {
		case metrics.Counter:
			v := m.Count()
			s.Value = &v
		case metrics.Gauge:
			v := m.Value()
			s.Value = &v
		case metrics.Histogram:
			h := m.Snapshot()
			s.Count = h.Count()
			s.Max = h.Max()
			s.Quantiles = map[string]float64{}
			for i, v := range h.Percentiles(quantiles) {
				s.Quantiles[fmt.Sprintf("p%g", quantiles[i]*100)] = v
			}
		}
		out = append(out, s)
	})
	return out
}
