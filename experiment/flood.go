package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/load"
)

const (
	// floodCapacityFactor is the rate of a flood in multiples of the capacity of the targets or workers.
	floodCapacityFactor = 20
	// floodMaxInProgress bounds the operations of a flood in progress. Operations above it are counted as skipped.
	floodMaxInProgress = 600
	// dominantWeight is a weight that makes those of the other classes negligible.
	dominantWeight = 1000
)

// floodLeast floods the class with the smallest weight. In the baseline the flooding class has nearly all the weight,
// as if there were no classes and the largest sender got the most.
func floodLeast(ctx context.Context, r *runner) error {
	return r.runFlood(ctx, classLeast, []string{classUrgent, classRead})
}

// floodUrgent floods the class with the largest weight.
func floodUrgent(ctx context.Context, r *runner) error {
	return r.runFlood(ctx, classUrgent, []string{classRead, classWrite})
}

func (r *runner) runFlood(ctx context.Context, floodingClass string, otherClasses []string) error {
	s := r.deploymentSize(100 * time.Millisecond)
	s.targets = max(1, s.targets/2)
	currentTable := standardTable()
	baselineTable := withChangedRow(currentTable, floodingClass, func(c *tableRow) { c.weight = dominantWeight })
	for i := range baselineTable {
		if baselineTable[i].name != floodingClass {
			baselineTable[i].weight = 1
		}
	}
	if err := r.deploy(ctx, s, currentTable); err != nil {
		return err
	}
	armDuration := r.armDuration(6 * time.Second)
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if !r.hasTimeFor(repetition-1, 3*armDuration+6*time.Second) {
			break
		}
		if err := r.commitTable(ctx, currentTable); err != nil {
			return err
		}
		if err := r.runFloodArm(ctx, s, "quiet", repetition, armDuration, floodingClass, otherClasses); err != nil {
			return err
		}
		if err := r.runFloodArm(ctx, s, "flood", repetition, armDuration, floodingClass, otherClasses); err != nil {
			return err
		}
		if err := r.commitTable(ctx, baselineTable); err != nil {
			return err
		}
		if err := r.runFloodArm(ctx, s, "flood, all weight", repetition, armDuration, floodingClass, otherClasses); err != nil {
			return err
		}
	}
	for _, arm := range []string{"flood", "flood, all weight"} {
		for _, class := range otherClasses {
			r.result.addRatio("answered", class, arm, "quiet", answeredPerSecond)
			r.result.addRatio("p99", class, arm, "quiet", p99Milliseconds)
		}
		r.result.addRatio("p99", floodingClass, arm, "quiet", p99Milliseconds)
	}
	r.result.Plots = append(r.result.Plots, r.plotByArm("part of the capacity of the targets", "part", func(row Row) float64 { return row.CapacityShare }),
		r.plotByArm("p99", "ms", p99Milliseconds))
	r.addNote("capacity of the targets: %.0f requests a second; flood of %.0f with at most %d in progress", s.capacity(), floodCapacityFactor*s.capacity(), floodMaxInProgress)
	return nil
}

// runFloodArm sends a quarter of the capacity in each of the other classes. In the flooding class it sends a sixteenth
// of the capacity in the arm "quiet" and the flood in all others.
func (r *runner) runFloodArm(ctx context.Context, s deploymentSize, arm string, repetition int, armDuration time.Duration, floodingClass string, otherClasses []string) error {
	runID := fmt.Sprintf("%s-%d", arm, repetition)
	quiet := stream{runID: runID + "-quiet"}
	for _, class := range otherClasses {
		quiet.classes = append(quiet.classes, s.loadClass(class, s.capacity()/4, time.Second, 1))
	}
	rate, maxInProgress := s.capacity()/16, 0
	if arm != "quiet" {
		rate, maxInProgress = floodCapacityFactor*s.capacity(), floodMaxInProgress
	}
	flood := stream{runID: runID + "-flood", classes: []load.Class{s.loadClass(floodingClass, rate, time.Second, 1)}, maxInProgress: maxInProgress}
	results, err := r.sendStreams(ctx, armDuration, quiet, flood)
	if err != nil {
		return err
	}
	r.result.addLoadRows(arm, repetition, armDuration, quiet.classes, results[0], s.capacity())
	r.result.addLoadRows(arm, repetition, armDuration, flood.classes, results[1], s.capacity())
	return nil
}

// plotByArm returns a plot of a value over the arms with a series for each class.
func (r *runner) plotByArm(title, unit string, value func(Row) float64) Plot {
	plot := Plot{Title: title, XLabel: "arm, in the order of the table", YLabel: unit}
	armPositions := make(map[string]int)
	seriesIndex := make(map[string]int)
	for _, row := range r.result.MergeRepetitions() {
		if _, ok := armPositions[row.Arm]; !ok {
			armPositions[row.Arm] = len(armPositions) + 1
		}
		if _, ok := seriesIndex[row.Class]; !ok {
			seriesIndex[row.Class] = len(plot.Series)
			plot.Series = append(plot.Series, Series{Name: row.Class})
		}
		series := &plot.Series[seriesIndex[row.Class]]
		series.Points = append(series.Points, Point{float64(armPositions[row.Arm]), value(row)})
	}
	return plot
}
