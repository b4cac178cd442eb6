package daemon

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// SettingsReference returns the Markdown page that describes the settings of a relay host. docs/settings.md is
// generated from it.
func SettingsReference() string {
	var b strings.Builder
	b.WriteString("# Settings of relayd\n\n")
	b.WriteString("Generated from the flags by `.ci/generate`; do not edit. Each flag can also be set by the environment variable.\n")
	b.WriteString("All settings are checked together at the start; every invalid one is reported with its value and what is allowed.\n")
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
		value, ok := formatSetting(flagDefault(f))
		if !ok {
			value = "none"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", name, EnvName(name), value, documented.GetUsage())
	}
	b.WriteString("\n`relayd platform` takes its settings from the platform's settings file, and these flags of the section Limits:")
	for _, f := range ClientLimitFlags(&ClientLimits{}) {
		b.WriteString(" `--" + f.Names()[0] + "`")
	}
	b.WriteString(".\n`--memory-mb` and `--max-descriptors` replace `Limits.MemoryMb` and `Limits.MaxFds` of the file.\n")
	b.WriteString("\n## Exit codes\n\n")
	b.WriteString("0: a graceful shutdown that finished every request. 1: a failure. 2: invalid settings. ")
	b.WriteString("3: a graceful shutdown that timed out with\nwork still in progress.\n")
	return b.String()
}

// flagDefault returns a pointer to the default of a flag, as formatSetting takes it, or nil if the flag has none.
func flagDefault(f cli.Flag) any {
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
