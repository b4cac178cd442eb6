package telemetry

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "bulrushrelay_"

// collector exports a Registry through the Prometheus client library.
type collector struct {
	registry *Registry
}

// Describe implements prometheus.Collector. It sends no descriptions, because classes, and therefore label values,
// change at run time.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.metrics.Each(func(k string, m any) {
		name, labels := parseKey(k)
		names := make([]string, len(labels))
		values := make([]string, len(labels))
		for i, l := range labels {
			names[i] = l.Name
			values[i] = l.Value
		}
		desc := prometheus.NewDesc(metricPrefix+name, name, names, nil)
		switch m := m.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()), values...)
		case metrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(m.Value()), values...)
		case metrics.Histogram:
			out <- newSummary(desc, m.Snapshot(), values)
		}
	})
}

func newSummary(desc *prometheus.Desc, h metrics.Histogram, values []string) prometheus.Metric {
	quantileValues := make(map[float64]float64, len(quantiles))
	for i, v := range h.Percentiles(quantiles) {
		quantileValues[quantiles[i]] = v
	}
	return prometheus.MustNewConstSummary(desc, uint64(h.Count()), float64(h.Sum()), quantileValues, values...)
}

// Register adds the routes /metrics (Prometheus text format) and /metrics.json (a list of Sample) to e.
func Register(e *echo.Echo, r *Registry) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{registry: r}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	e.GET("/metrics.json", func(c echo.Context) error { return c.JSON(http.StatusOK, r.Samples()) })
}
