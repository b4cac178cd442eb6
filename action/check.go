package action

import (
	"errors"
	"os"

	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// Check returns the record of a run and every guarantee that it contradicts, with the workers that carried more than
// they hold.
func Check(d *deployment.Deployment, bounds history.Bounds) ([]history.Event, []history.Violation) {
	events := d.Events()
	violations := history.Check(events, bounds)
	for _, over := range d.OverloadedWorkers() {
		violations = append(violations, history.Violation{Guarantee: "P1", Message: "worker over capacity: " + over})
	}
	return events, violations
}

// WriteHistory writes a record to a file, for "relaydev check".
func WriteHistory(name string, events []history.Event) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(history.Write(f, events), f.Close())
}
