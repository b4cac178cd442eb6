package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
)

const flagEditor = "editor"

func tableEditCommand() *cli.Command {
	return &cli.Command{
		Name:  "edit",
		Usage: "edit the newest table in an editor and commit it",
		Description: `The table is opened as CSV in --editor, which must wait until the file is closed. The changes are shown
before they are committed. If the table is refused, the edited file is kept and its path is shown.

Example: EDITOR=vim relayctl table edit --reason "more room for search"`,
		Flags: append(changeFlags(), mergeFlag("EDIT_"), &cli.StringFlag{
			Name: flagEditor, Value: "vi", Sources: cli.EnvVars("RELAYCTL_EDITOR", "VISUAL", "EDITOR"),
			Usage: "command that edits a file, with its arguments separated by spaces",
		}),
		Action: tableEdit,
	}
}

func tableEdit(ctx context.Context, c *cli.Command) (err error) {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 0, 0); err != nil {
		return err
	}
	if _, err := newChangeMetadata(c, 0); err != nil {
		return err
	}
	before, base, err := client.TableCSV(ctx, 0)
	if err != nil {
		return err
	}
	name, err := writeTempFile(before)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			printMessage(c, "the edited table is kept in %s; commit it with: relayctl table set --base %d %s", name, base, name)
			return
		}
		_ = os.Remove(name)
	}()
	if err := runEditor(ctx, c, c.String(flagEditor), name); err != nil {
		return err
	}
	body, err := readTable(c, name)
	if err != nil {
		return err
	}
	if bytes.Equal(body.Data, before) {
		printMessage(c, "nothing was edited")
		return nil
	}
	diff, err := client.Diff(ctx, base, body)
	if err != nil {
		return err
	}
	err = printChanges(c, diff)
	if err != nil {
		return err
	}
	return commitTable(ctx, c, client, base, body)
}

// printChanges writes the changes to standard error, because standard output is for the result of the commit.
func printChanges(c *cli.Command, diff operatorhttp.Diff) error {
	var text bytes.Buffer
	writeChanges(&text, diff.Changes)
	_, err := io.Copy(c.Root().ErrWriter, &text)
	return err
}

func writeTempFile(data []byte) (string, error) {
	file, err := os.CreateTemp("", "relayctl-table-*.csv")
	if err != nil {
		return "", exitWith(exitUsage, "%w", err)
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return "", fmt.Errorf("%s: %w", file.Name(), err)
	}
	return file.Name(), nil
}
