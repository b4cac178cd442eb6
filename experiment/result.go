// Package experiment runs measurements on whole deployments. Each experiment compares arms, such as the current policy
// and a baseline, in one run with the same program, load and seed. The repetitions of the arms alternate, because
// figures from a shared machine can only be compared within one run.
package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bulrushrelay/bulrushrelay/load"
)

// Row holds the results of one class in one repetition of one arm, as seen by its callers.
type Row struct {
	Arm string
	// Rate is the offered load of the class in operations a second.
	Rate       float64
	Repetition int
	Class      string
	Duration   time.Duration

	// Unknown counts the operations that may have run, Skipped those not sent because too many were in progress.
	Sent, Answered, NotRun, Unknown, Skipped int64
	// NoAnswer counts the attempts without an answer, Retries the attempts after the first.
	NoAnswer, Retries int64
	// TasksDone counts the finished tasks of a class of jobs, Evictions its evicted attempts.
	TasksDone, Evictions int64
	// CapacityShare is the fraction of the capacity of the targets or workers that the class used.
	CapacityShare float64
	// Latency is in microseconds: from arrival to answer for answered requests, from submission to start for tasks.
	Latency *hdrhistogram.Histogram
	// overhead is the latency without the service time at the target, in microseconds; nil for tasks. It is compared
	// between arms because the spread of the service times is far larger than the latency that the relay hosts add.
	overhead *hdrhistogram.Histogram
}

// LatencyMilliseconds returns a percentile of the latency; 0 if there are no samples.
func (r Row) LatencyMilliseconds(percentile float64) float64 {
	return quantileMilliseconds(r.Latency, percentile)
}

func quantileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h == nil || h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// Figure is a single measured value of an arm.
type Figure struct {
	Arm        string
	Repetition int
	Name       string
	Value      float64
	Unit       string
}

// Point is a point of a series, in the units of the axes of its plot.
type Point struct {
	X, Y float64
}

// Series is a named line of a plot.
type Series struct {
	Name   string
	Points []Point
}

// Plot is a line chart in the report.
type Plot struct {
	Title, XLabel, YLabel string
	Series                []Series
}

// Result holds the measurements of one experiment.
type Result struct {
	Name      string
	Question  string
	Seed      uint64
	StartedAt time.Time
	Elapsed   time.Duration
	Rows      []Row
	Figures   []Figure
	Plots     []Plot
	// Notes state the conditions and limits of the run, such as the load of the machine and repetitions omitted for
	// lack of time.
	Notes []string
	// Violations describe the violated guarantees with their traces.
	Violations []string
	// Events is the number of events that the history checker read.
	Events int
}

func (r *Result) addFigure(arm string, repetition int, name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{arm, repetition, name, value, unit})
}

// addLoadRows adds a row for each class of a load. capacity is the capacity of the targets in operations a second.
func (r *Result) addLoadRows(arm string, repetition int, duration time.Duration, classes []load.Class, results []load.Result, capacity float64) {
	for i, result := range results {
		r.Rows = append(r.Rows, Row{
			Arm: arm, Rate: classes[i].Rate, Repetition: repetition, Class: result.Class, Duration: duration,
			Sent: result.Sent, Answered: result.Answered, NotRun: result.NotRun, Unknown: result.Unknown, Skipped: result.Skipped, NoAnswer: result.NoAnswer, Retries: result.Retries,
			CapacityShare: float64(result.Answered) / duration.Seconds() / capacity, Latency: result.Latency, overhead: result.Overhead,
		})
	}
}

// Median returns the median of values; 0 if there are none.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// MergeRepetitions returns one row for each combination of arm, rate and class, in the order of first appearance. In
// these rows, Repetition is the number of repetitions.
func (r *Result) MergeRepetitions() []Row {
	type key struct {
		arm, class string
		rate       float64
	}
	index := make(map[key]int)
	var rows []Row
	for _, row := range r.Rows {
		k := key{row.Arm, row.Class, row.Rate}
		i, ok := index[k]
		if !ok {
			index[k] = len(rows)
			merged := row
			if row.Latency != nil {
				merged.Latency = hdrhistogram.Import(row.Latency.Export())
			}
			merged.Repetition = 1
			rows = append(rows, merged)
			continue
		}
		rows[i].merge(row)
	}
	return rows
}

func (r *Row) merge(other Row) {
	seconds, otherSeconds := r.Duration.Seconds(), other.Duration.Seconds()
	r.CapacityShare = (r.CapacityShare*seconds + other.CapacityShare*otherSeconds) / (seconds + otherSeconds)
	r.Duration += other.Duration
	r.Repetition++
	r.Sent += other.Sent
	r.Answered += other.Answered
	r.NotRun += other.NotRun
	r.Unknown += other.Unknown
	r.Skipped += other.Skipped
	r.NoAnswer += other.NoAnswer
	r.Retries += other.Retries
	r.TasksDone += other.TasksDone
	r.Evictions += other.Evictions
	if r.Latency != nil && other.Latency != nil {
		r.Latency.Merge(other.Latency)
	}
}

// addRatio adds a figure with the median over the repetitions of the ratio of a value in an arm to the same value in
// the baseline arm, for a class.
func (r *Result) addRatio(name, class, arm, baselineArm string, value func(Row) float64) {
	baselines := make(map[int]float64)
	for _, row := range r.Rows {
		if row.Arm == baselineArm && row.Class == class {
			baselines[row.Repetition] = value(row)
		}
	}
	var ratios []float64
	for _, row := range r.Rows {
		if baseline := baselines[row.Repetition]; row.Arm == arm && row.Class == class && baseline > 0 {
			ratios = append(ratios, value(row)/baseline)
		}
	}
	if len(ratios) > 0 {
		r.addFigure(arm, 0, name+", "+class+", median of repetitions", Median(ratios), "x "+baselineArm)
	}
}

func answeredPerSecond(r Row) float64 { return float64(r.Answered) / r.Duration.Seconds() }

func p99Milliseconds(r Row) float64 { return r.LatencyMilliseconds(99) }
