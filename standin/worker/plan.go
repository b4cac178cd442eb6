package worker

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// plan is the behaviour of a simulated task, parsed from its command: fields "key=value" separated by ";".
//
//	work=30s       time to completion at full speed; the declared run time by default
//	fail=message   the task fails with this message
//	fail_at=3s     progress at which it fails; half of the work by default
//	slow=0.03,7    share of the attempts that take longer, and by which factor; which ones depends on their ids
//	spread=0.5     standard deviation of the logarithm of the work of an attempt, with work as the median
//	slow_tasks=1   the work depends on the id of the task only, so that all attempts of a task have the same
//	use=1500,300   used thousandths of a processor and MB of memory; the booked resources by default
type plan struct {
	workTime    time.Duration
	failAt      time.Duration
	failMessage string
	usage       resource.Vector
	// slowShare of the attempts, or of the tasks if slowTasks is set, take slowFactor times as long.
	slowShare, slowFactor float64
	slowTasks             bool
	spread                float64
}

func parsePlan(command string, runTime time.Duration, booked resource.Vector) (plan, error) {
	p := plan{workTime: max(runTime, time.Millisecond), usage: booked}
	fails := false
	for _, field := range strings.Split(command, ";") {
		key, value, _ := strings.Cut(field, "=")
		var err error
		switch key {
		case "work":
			p.workTime, err = time.ParseDuration(value)
		case "fail":
			fails = true
			p.failMessage = value
		case "fail_at":
			p.failAt, err = time.ParseDuration(value)
		case "slow":
			p.slowShare, p.slowFactor, err = parseSlow(value)
		case "spread":
			p.spread, err = strconv.ParseFloat(value, 64)
		case "slow_tasks":
			p.slowTasks, err = strconv.ParseBool(value)
		case "use":
			p.usage, err = parseUsage(value, booked)
		}
		if err != nil {
			return plan{}, fmt.Errorf("command field %q: %w", field, err)
		}
	}
	if fails && p.failAt == 0 {
		p.failAt = max(p.workTime/2, time.Millisecond)
	}
	return p, nil
}

func parseSlow(value string) (share, factor float64, err error) {
	first, second, ok := strings.Cut(value, ",")
	if !ok {
		return 0, 0, fmt.Errorf("want SHARE,FACTOR")
	}
	if share, err = strconv.ParseFloat(first, 64); err != nil {
		return 0, 0, err
	}
	factor, err = strconv.ParseFloat(second, 64)
	return share, factor, err
}

// varyWork draws the work of an attempt.
func (p *plan) varyWork(a lifecycle.AttemptID) {
	name := a.Task.String()
	if !p.slowTasks {
		name = fmt.Sprintf("%s/%d", name, a.Attempt)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	factor := 1.0
	if rng.Float64() < p.slowShare {
		factor = p.slowFactor
	}
	if p.spread > 0 {
		factor *= math.Exp(p.spread * rng.NormFloat64())
	}
	p.workTime = time.Duration(float64(p.workTime) * factor)
}

func parseUsage(value string, booked resource.Vector) (resource.Vector, error) {
	cpu, memory, ok := strings.Cut(value, ",")
	if !ok {
		return booked, fmt.Errorf("want MILLICPU,MEMORY_MB")
	}
	c, err := strconv.ParseInt(cpu, 10, 64)
	if err != nil {
		return booked, err
	}
	m, err := strconv.ParseInt(memory, 10, 64)
	if err != nil {
		return booked, err
	}
	return resource.Vector{MilliCPU: c, MemoryMB: m, Accelerators: booked.Accelerators}, nil
}

// checkpointID returns an id that encodes the progress of an attempt, so that any worker can resume from it as if
// checkpoints were on shared storage.
func checkpointID(id ident.TaskID, attempt ident.Attempt, progress time.Duration) string {
	return fmt.Sprintf("%s/%d@%d", id, attempt, progress.Microseconds())
}

// checkpointProgress returns the progress that a checkpoint of the task records; 0 if checkpoint is empty.
func checkpointProgress(checkpoint string, id ident.TaskID) (time.Duration, error) {
	if checkpoint == "" {
		return 0, nil
	}
	owner, progressText, ok := strings.Cut(checkpoint, "@")
	if !ok || !strings.HasPrefix(owner, id.String()+"/") {
		return 0, fmt.Errorf("checkpoint %q is not one of task %s", checkpoint, id)
	}
	progressMicros, err := strconv.ParseInt(progressText, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("checkpoint %q: %w", checkpoint, err)
	}
	return time.Duration(progressMicros) * time.Microsecond, nil
}
