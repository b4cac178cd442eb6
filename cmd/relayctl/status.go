package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	flagRequire = "require"
	flagWait    = "wait"

	// maxWait bounds --wait.
	maxWait            = 10 * time.Minute
	statusPollInterval = 500 * time.Millisecond
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the revision in force on each host, and whether it is in force everywhere",
		Description: `A revision is in force everywhere only if every host that holds a lease has confirmed it. The list of
hosts shows what the asked host last heard from each.

Example: relayctl status --revision 13 --wait 30s`,
		Flags: []cli.Flag{
			revisionFlag("STATUS_", "revision to ask for; 0 is the one in force at the asked host"),
			&cli.BoolFlag{
				Name: flagRequire, Sources: env("STATUS_REQUIRE"), Usage: "exit with 6 unless it is in force everywhere",
			},
			&cli.DurationFlag{
				Name: flagWait, Sources: env("STATUS_WAIT"),
				Usage: "wait until it is in force everywhere, 0s to 10m; implies --require",
			},
		},
		Action: status,
	}
}

// statusOutput is the JSON output of the command.
type statusOutput struct {
	Rollout operatorhttp.RolloutStatus `json:"everywhere"`
	Status  operatorhttp.Status        `json:"status"`
}

func status(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 0, 0); err != nil {
		return err
	}
	wait := c.Duration(flagWait)
	if wait < 0 || wait > maxWait {
		return exitWith(exitUsage, "wait %s: want 0s to %s", wait, maxWait)
	}
	out, err := awaitInForce(ctx, client, table.Revision(c.Uint64(flagRevision)), wait)
	if err != nil {
		return err
	}
	if err := writeOutput(c, out, func(w io.Writer) { writeStatus(w, out) }); err != nil {
		return err
	}
	if (c.Bool(flagRequire) || wait > 0) && !out.Rollout.InForce {
		return exitWith(exitNotInForce, "revision %d is not in force everywhere: %s", out.Rollout.Revision, out.Rollout.Reason)
	}
	return nil
}

// awaitInForce polls until the revision is in force everywhere or wait is over, and returns the last answer.
func awaitInForce(
	ctx context.Context, client *operatorhttp.Client, revision table.Revision, wait time.Duration,
) (out statusOutput, err error) {
	deadline := time.Now().Add(wait)
	for {
		if out.Rollout, err = client.CheckRollout(ctx, revision); err != nil {
			return out, err
		}
		if out.Rollout.InForce || time.Now().After(deadline) {
			out.Status, err = client.Status(ctx)
			return out, err
		}
		timer := time.NewTimer(statusPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return out, ctx.Err()
		}
	}
}

func writeStatus(w io.Writer, out statusOutput) {
	e, s := out.Rollout, out.Status
	answer := "in force everywhere"
	if !e.InForce {
		answer = "NOT in force everywhere: " + strings.TrimSpace(e.Reason+" "+strings.Join(e.Missing, " "))
	}
	writeLine(w, fmt.Sprintf("revision %d %s", e.Revision, answer))
	writeLine(w, fmt.Sprintf("confirmed by %d of %d hosts", e.Confirmed, e.Members))
	if s.StoreFault != "" {
		writeLine(w, "store", "not reached by "+s.Self.Host+": "+s.StoreFault)
	}
	if s.Divergence != "" {
		writeLine(w, "store", "differs: "+s.Divergence)
	}
	writeLine(w, "HOST", "REVISION", "IN FORCE SINCE", "STORE CONTACT", "SEEN")
	for _, h := range append([]operatorhttp.HostStatus{s.Self}, s.Hosts...) {
		revision := any("none")
		if h.Loaded {
			revision = h.Revision
		}
		writeLine(w, h.Host, revision, timeText(h.InForceSince), timeText(h.StoreContact), timeText(&h.Seen))
	}
}
