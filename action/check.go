package action

import (
	"errors"
	"os"

	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// Check returns the history of a run and every violation of a guarantee that it shows, including workers that were over
// their capacity and starts in data centres under evacuation.
func Check(d *deployment.Deployment, bounds history.Bounds) ([]history.Event, []history.Violation) {
	events := d.Events()
	violations := history.Check(events, bounds)
	for _, overloaded := range d.OverloadedWorkers() {
		violations = append(violations, history.Violation{Guarantee: "P1", Message: "worker over capacity: " + overloaded})
	}
	for _, start := range d.StartsUnderEvacuation() {
		violations = append(violations, history.Violation{Guarantee: "evacuation", Message: "started after the bound: " + start})
	}
	return events, violations
}

// WriteHistory writes a history to a file that "relaydev check" can read.
func WriteHistory(name string, events []history.Event) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(history.Write(f, events), f.Close())
}
