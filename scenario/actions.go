package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// sleep waits, so that failures last for some time: sleep DURATION.
func (r *scriptRun) sleep(_ context.Context, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("want a duration")
	}
	duration, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
	return nil
}

// expect checks conditions on the results of a finished load, such as: expect NAME answered>=100 unknown==0 notrun<=5.
func (r *scriptRun) expect(_ context.Context, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("want the name of a load and conditions")
	}
	r.mu.Lock()
	results := r.results[args[0]]
	r.mu.Unlock()
	if len(results) != 1 {
		return fmt.Errorf("load %q has no results: finish must come first", args[0])
	}
	values := map[string]int64{
		"sent": results[0].Sent, "answered": results[0].Answered, "notrun": results[0].NotRun, "unknown": results[0].Unknown,
	}
	for _, condition := range args[1:] {
		if err := checkCondition(values, condition); err != nil {
			return fmt.Errorf("%w (%v)", err, values)
		}
	}
	return nil
}

func checkCondition(values map[string]int64, condition string) error {
	for _, operator := range []string{">=", "<=", "=="} {
		name, number, ok := strings.Cut(condition, operator)
		if !ok {
			continue
		}
		value, known := values[name]
		var want int64
		if _, err := fmt.Sscan(number, &want); err != nil || !known {
			return fmt.Errorf("condition %q: want sent, answered, notrun or unknown and a number", condition)
		}
		if (operator == ">=" && value >= want) || (operator == "<=" && value <= want) || (operator == "==" && value == want) {
			return nil
		}
		return fmt.Errorf("condition %q does not hold: %s is %d", condition, name, value)
	}
	return fmt.Errorf("condition %q: want >=, <= or ==", condition)
}
