package main

import (
	"github.com/urfave/cli/v3"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "read and change the table",
		Commands: []*cli.Command{
			tableGetCommand(),
			tableSetCommand(),
			tableEditCommand(),
			tableDiffCommand(),
			tableHistoryCommand(),
			explainCommand(),
			tableRollbackCommand(),
			tableValidateCommand(),
			tableOutcomeCommand(),
		},
	}
}
