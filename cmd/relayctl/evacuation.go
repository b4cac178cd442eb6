package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
)

func evacuationCommand() *cli.Command {
	return &cli.Command{
		Name:  "evacuation",
		Usage: "start nothing more in a data centre, until this is withdrawn",
		Description: `Running tasks stay. Lasting tasks move within the disruption budget of their group, while other workers
have room.`,
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "request the evacuation of a data centre", ArgsUsage: "DATA-CENTRE",
				Description: `Repeating the command is harmless: the first request stays in force, with its reason.

Example: relayctl evacuation start nelson --reason "maintenance of the cooling"`,
				Flags: []cli.Flag{&cli.StringFlag{
					Name: flagReason, Aliases: []string{"m"}, Required: true, Sources: env("EVACUATION_REASON"), Usage: "why it is evacuated; shown by list",
				}},
				Action: startEvacuation,
			},
			{
				Name: "stop", Usage: "withdraw the request for a data centre", ArgsUsage: "DATA-CENTRE",
				Description: `The workers of the data centre take tasks again one after another within 2 s.

Example: relayctl evacuation stop nelson`,
				Action: stopEvacuation,
			},
			{
				Name: "list", Usage: "show the requests in force, what still runs there, and why",
				Description: `What still runs is shown for the cells that the asked host owns. The reasons are: ends (the task ends by
itself), no_budget (its group has no disruption budget), budget_used (too many tasks of its group are unavailable, or one
is being moved), no_room (no other worker has room), moves (it can move).

Example: relayctl evacuation list`,
				Action: listEvacuations,
			},
		},
	}
}

func startEvacuation(ctx context.Context, c *cli.Command) error {
	return withDataCentre(c, func(client *operatorhttp.Client, dc string) error {
		v, err := client.StartEvacuation(ctx, dc, c.String(flagReason))
		if err != nil {
			return err
		}
		return writeOutput(c, v, func(w io.Writer) {
			writeLine(w, fmt.Sprintf("%s is under evacuation since store revision %d: %s", v.DataCentre, v.Revision, v.Reason))
		})
	})
}

func stopEvacuation(ctx context.Context, c *cli.Command) error {
	return withDataCentre(c, func(client *operatorhttp.Client, dc string) error {
		if err := client.StopEvacuation(ctx, dc); err != nil {
			return err
		}
		return writeOutput(c, struct{}{}, func(w io.Writer) { writeLine(w, "the request for "+dc+" is withdrawn") })
	})
}

// withDataCentre calls f with a client and the data centre that the arguments name.
func withDataCentre(c *cli.Command, f func(client *operatorhttp.Client, dc string) error) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 1, 1); err != nil {
		return err
	}
	return f(client, c.Args().First())
}

func listEvacuations(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 0, 0); err != nil {
		return err
	}
	v, err := client.Evacuations(ctx)
	if err != nil {
		return err
	}
	return writeOutput(c, v, func(w io.Writer) { writeEvacuations(w, v) })
}

func writeEvacuations(w io.Writer, v operatorhttp.Evacuations) {
	if len(v.Requests) == 0 {
		writeLine(w, "no data centre is under evacuation")
	} else {
		writeLine(w, "DATA CENTRE", "REVISION", "REASON")
	}
	for _, r := range v.Requests {
		writeLine(w, r.DataCentre, r.Revision, r.Reason)
	}
	writeLine(w, fmt.Sprintf("evacuated workers in the %d of %d cells that the host owns:", v.Cells, v.AllCells))
	for _, e := range v.Evacuated {
		writeLine(w, e.DataCentre, fmt.Sprintf("%d workers", e.Workers), tasksText(e.Tasks))
	}
}

// tasksText lists the tasks by why they stay.
func tasksText(tasks map[string]int) string {
	if len(tasks) == 0 {
		return "nothing runs there"
	}
	text := ""
	for i, reason := range slices.Sorted(maps.Keys(tasks)) {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", reason, tasks[reason])
	}
	return text
}
