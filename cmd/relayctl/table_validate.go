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
		Description: `FILE "-" is standard input. Without --url and --token the file is checked here alone, for faults. A relay host adds the
warnings, which name limits that the fleet cannot meet and do not prevent a commit, and the changes from the newest revision.`,
		Action: tableValidate,
	}
}

// checkedFile is what is known of a file. Diff is absent without a relay host, and for a file with faults.
type checkedFile struct {
	operatorhttp.Validation
	Diff *operatorhttp.Diff `json:"diff,omitempty"`
}

func tableValidate(ctx context.Context, c *cli.Command) error {
	client, err := connectIfNamed(c)
	if err != nil {
		return err
	}
	if err := arguments(c, 1, 1); err != nil {
		return err
	}
	body, err := readTable(c, c.Args().First())
	if err != nil {
		return err
	}
	checked, err := checkFile(ctx, client, body)
	if err != nil {
		return err
	}
	if len(checked.Faults) > 0 {
		if c.String(flagOutput) == outputJSON {
			if err := show(c, checked, nil); err != nil {
				return err
			}
		}
		return faultsError(checked.Validation)
	}
	writeWarnings(c, checked.Warnings)
	if client == nil {
		say(c, "checked without a relay: warnings and changes are not known")
	}
	return show(c, checked, func(w io.Writer) { writeChecked(w, checked) })
}

func checkFile(ctx context.Context, client *operatorhttp.Client, body operatorhttp.Body) (checkedFile, error) {
	if client == nil {
		v, err := operatorhttp.Validate(body)
		if err != nil {
			return checkedFile{}, exitWith(exitFaults, "%w", err)
		}
		return checkedFile{Validation: v}, nil
	}
	v, err := client.Validate(ctx, body)
	if err != nil || len(v.Faults) > 0 {
		return checkedFile{Validation: v}, err
	}
	diff, err := client.Diff(ctx, 0, body)
	return checkedFile{Validation: v, Diff: &diff}, err
}

func writeChecked(w io.Writer, checked checkedFile) {
	line(w, fmt.Sprintf("valid: %d rows", checked.Rows))
	if checked.Diff == nil {
		return
	}
	if len(checked.Diff.Changes) == 0 {
		line(w, fmt.Sprintf("no changes from revision %d", checked.Diff.From))
		return
	}
	line(w, fmt.Sprintf("changes from revision %d:", checked.Diff.From))
	writeChanges(w, checked.Diff.Changes)
}
