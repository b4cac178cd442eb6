package action

import (
	"context"
	"errors"
)

// evacuation requests or withdraws the evacuation of a data centre: evacuation start|stop DATA-CENTRE.
func (a *Actions) evacuation(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return errors.New("want start or stop and a data centre")
	}
	switch args[0] {
	case "start":
		return a.Deployment.StartEvacuation(ctx, args[1])
	case "stop":
		return a.Deployment.StopEvacuation(ctx, args[1])
	default:
		return errors.New("want start or stop and a data centre")
	}
}
