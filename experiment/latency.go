package experiment

import (
	"context"
	"fmt"
	"runtime"
	"time"
)

// latency compares direct calls of the targets with calls through the relay hosts, at loads up to half the capacity.
func latency(ctx context.Context, r *runner) error {
	s := r.deploymentSize(40 * time.Millisecond)
	if err := r.deploy(ctx, s, standardTable()); err != nil {
		return err
	}
	armDuration := r.armDuration(3 * time.Second)
	if err := r.runLatencyArm(ctx, s, "warm-up", 0, s.capacity()/4, time.Second); err != nil {
		return err
	}
	r.result.Rows, r.result.Figures = nil, nil
	loadFractions := []float64{0.125, 0.25, 0.5}
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if !r.hasTimeFor(repetition-1, 6*(armDuration+time.Second)) {
			break
		}
		for _, fraction := range loadFractions {
			for _, arm := range []string{"direct", "relay"} {
				if err := r.runLatencyArm(ctx, s, arm, repetition, fraction*s.capacity(), armDuration); err != nil {
					return err
				}
			}
		}
	}
	r.addLatencyFigures(s, loadFractions)
	r.addNote("capacity of the targets: %.0f requests a second; %d processors", s.capacity(), runtime.NumCPU())
	return nil
}

func (r *runner) runLatencyArm(ctx context.Context, s deploymentSize, arm string, repetition int, rate float64, armDuration time.Duration) error {
	st := stream{runID: fmt.Sprintf("%s-%d-%.0f", arm, repetition, rate)}
	st.classes = append(st.classes, s.loadClass(classRead, rate, time.Second, 3))
	if arm == "direct" {
		st.directToTargets, st.hosts = true, r.targetURLs()
	}
	before, err := readUsage(r.deployment)
	if err != nil {
		return err
	}
	results, err := r.sendStreams(ctx, armDuration, st)
	if err != nil {
		return err
	}
	after, err := readUsage(r.deployment)
	if err != nil {
		return err
	}
	r.result.addLoadRows(arm, repetition, armDuration, st.classes, results[0], s.capacity())
	if usedCPUSeconds := after.cpuSeconds - before.cpuSeconds; arm == "relay" && usedCPUSeconds > 0 {
		rateSuffix := fmt.Sprintf(" at %.0f/s", rate)
		r.result.addFigure(arm, repetition, "requests a second per core of the relay processes"+rateSuffix, float64(results[0][0].Answered)/usedCPUSeconds, "1/s")
		r.result.addFigure(arm, repetition, "resident memory of one relay process"+rateSuffix, after.memoryMB/float64(len(r.deployment.Hosts)), "MB")
	}
	return nil
}

// addLatencyFigures adds for each load the medians over the repetitions: of the overhead of both arms, and of the
// latency that the relay hosts add.
func (r *runner) addLatencyFigures(s deploymentSize, loadFractions []float64) {
	direct, relay := Series{Name: "direct"}, Series{Name: "through relay hosts"}
	for _, fraction := range loadFractions {
		rate := fraction * s.capacity()
		for _, percentile := range []float64{50, 99, 99.9} {
			directOverheads, relayOverheads, addedLatencies := r.overheads(rate, percentile)
			name := fmt.Sprintf("p%g of the time over the service time at %.0f/s, median of repetitions", percentile, rate)
			r.result.addFigure("direct", 0, name, Median(directOverheads), "ms")
			r.result.addFigure("relay", 0, name, Median(relayOverheads), "ms")
			r.result.addFigure("relay", 0, fmt.Sprintf("added p%g at %.0f/s, median of repetitions", percentile, rate), Median(addedLatencies), "ms")
			if percentile == 99 {
				direct.Points = append(direct.Points, Point{rate, Median(directOverheads)})
				relay.Points = append(relay.Points, Point{rate, Median(relayOverheads)})
			}
		}
	}
	r.result.Plots = append(r.result.Plots, Plot{"p99 of the time over the service time", "requests a second", "ms", []Series{direct, relay}})
}

// overheads returns a percentile of the overhead of each arm and the difference between the arms, in milliseconds and
// for each repetition at a rate.
func (r *runner) overheads(rate, percentile float64) (direct, relay, differences []float64) {
	directByRepetition := make(map[int]float64)
	for _, row := range r.result.Rows {
		if row.Rate == rate && row.Arm == "direct" {
			directByRepetition[row.Repetition] = quantileMilliseconds(row.overhead, percentile)
			direct = append(direct, quantileMilliseconds(row.overhead, percentile))
		}
	}
	for _, row := range r.result.Rows {
		if row.Rate == rate && row.Arm == "relay" {
			relay = append(relay, quantileMilliseconds(row.overhead, percentile))
			differences = append(differences, quantileMilliseconds(row.overhead, percentile)-directByRepetition[row.Repetition])
		}
	}
	return direct, relay, differences
}
