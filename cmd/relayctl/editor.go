package main

import (
	"context"
	"os/exec"
	"strings"

	"github.com/urfave/cli/v3"
)

// runEditor runs the operator's editor on a file and waits for it to exit. No other part of relayctl starts a process;
// "table get" and "table set" offer the same without one.
func runEditor(ctx context.Context, c *cli.Command, editor, file string) error {
	words := strings.Fields(editor)
	if len(words) == 0 {
		return exitWith(exitUsage, "editor is blank: want a command, such as vi")
	}
	command := exec.CommandContext(ctx, words[0], append(words[1:], file)...)
	command.Stdin, command.Stdout, command.Stderr = c.Root().Reader, c.Root().Writer, c.Root().ErrWriter
	if err := command.Run(); err != nil {
		return exitWith(exitUsage, "editor %q: %w", editor, err)
	}
	return nil
}
