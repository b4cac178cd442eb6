package main

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/tablecsv"
)

// readTable reads a CSV file; the name "-" is standard input.
func readTable(c *cli.Command, name string) (operatorhttp.Body, error) {
	in := c.Root().Reader
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return operatorhttp.Body{}, exitWith(exitUsage, "%w", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, tablecsv.MaxBytes+1))
	if err != nil {
		return operatorhttp.Body{}, exitWith(exitUsage, "%s: %w", name, err)
	}
	if len(data) > tablecsv.MaxBytes {
		return operatorhttp.Body{}, exitWith(exitInvalidTable, "%s is larger than %d bytes", name, tablecsv.MaxBytes)
	}
	return operatorhttp.CSV(data), nil
}

// invalidTableError returns an error that lists the faults of a table.
func invalidTableError(v operatorhttp.Validation) error {
	text := fmt.Sprintf("the table has %d faults", len(v.Faults))
	for _, f := range v.Faults {
		text += "\n" + f.String()
	}
	return exitWith(exitInvalidTable, "%s", text)
}
