package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
)

func tableValidateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "list every fault, warning and change of a CSV file without changing anything",
		ArgsUsage: "FILE",
		Description: `FILE "-" is standard input. Without --url and --token the file is checked locally: its faults, and warnings, which
do not prevent a commit, for limits that contradict each other. A relay host adds the warnings for limits that the fleet
cannot meet or never uses, and the changes from the newest revision.`,
		Action: tableValidate,
	}
}

// validationReport is the output of the command. Diff is absent without a relay host, and for a file with faults.
type validationReport struct {
	operatorhttp.Validation
	Diff *operatorhttp.Diff `json:"diff,omitempty"`
}

func tableValidate(ctx context.Context, c *cli.Command) error {
	client, err := connectIfConfigured(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 1, 1); err != nil {
		return err
	}
	body, err := readTable(c, c.Args().First())
	if err != nil {
		return err
	}
	report, err := validateTable(ctx, client, body)
	if err != nil {
		return err
	}
	if len(report.Faults) > 0 {
		if c.String(flagOutput) == outputJSON {
			if err := writeOutput(c, report, nil); err != nil {
				return err
			}
		}
		return invalidTableError(report.Validation)
	}
	writeWarnings(c, report.Warnings)
	if client == nil {
		printMessage(c, "checked without a relay host: the capacity of the fleet and the changes are not known")
	}
	return writeOutput(c, report, func(w io.Writer) { writeReport(w, report) })
}

// validateTable validates a table through the client, or locally if the client is nil.
func validateTable(ctx context.Context, client *operatorhttp.Client, body operatorhttp.Body) (validationReport, error) {
	if client == nil {
		v, err := operatorhttp.Validate(body)
		if err != nil {
			return validationReport{}, exitWith(exitInvalidTable, "%w", err)
		}
		return validationReport{Validation: v}, nil
	}
	v, err := client.Validate(ctx, body)
	if err != nil || len(v.Faults) > 0 {
		return validationReport{Validation: v}, err
	}
	diff, err := client.Diff(ctx, 0, body)
	return validationReport{Validation: v, Diff: &diff}, err
}

func writeReport(w io.Writer, report validationReport) {
	writeLine(w, fmt.Sprintf("valid: %d rows", report.Rows))
	if report.Diff == nil {
		return
	}
	if len(report.Diff.Changes) == 0 {
		writeLine(w, fmt.Sprintf("no changes from revision %d", report.Diff.From))
		return
	}
	writeLine(w, fmt.Sprintf("changes from revision %d:", report.Diff.From))
	writeChanges(w, report.Diff.Changes)
}
