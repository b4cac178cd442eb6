package daemon

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// SettingsReference returns the settings of a relay host as a Markdown page. docs/settings.md is made from it.
func SettingsReference() string {
	var b strings.Builder
	b.WriteString("# Settings of relayd\n\n")
	b.WriteString("Made from the flags by `.ci/generate`; do not edit. Each flag can also be set by the environment variable.\n")
	b.WriteString("All settings are checked together at the start; every faulty one is named with its value and what is allowed.\n")
	group := ""
	for _, f := range Flags(&Settings{}) {
		documented, ok := f.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		if category, ok := f.(cli.CategorizableFlag); ok && category.GetCategory() != group {
			group = category.GetCategory()
			fmt.Fprintf(&b, "\n## %s%s\n\n| Flag | Variable | Default | Meaning |\n|---|---|---|---|\n", strings.ToUpper(group[:1]), group[1:])
		}
		name := f.Names()[0]
		value, ok := format(defaultOf(f))
		if !ok {
			value = "none"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", name, EnvName(name), value, documented.GetUsage())
	}
	b.WriteString("\n## Exit codes\n\n")
	b.WriteString("0: a planned stop that finished every request. 1: a failure. 2: faulty settings. ")
	b.WriteString("3: a planned stop whose time ran out with\nwork still in progress.\n")
	return b.String()
}

// defaultOf returns the default of a flag in the form that format takes.
func defaultOf(f cli.Flag) any {
	switch f := f.(type) {
	case *cli.StringFlag:
		return &f.Value
	case *cli.IntFlag:
		return &f.Value
	case *cli.FloatFlag:
		return &f.Value
	case *cli.DurationFlag:
		return &f.Value
	default:
		return nil
	}
}
