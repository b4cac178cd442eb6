package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/core/ledger"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "BULRUSH_"

// EnvName returns the name of the environment variable that sets a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// LookAheadFlag turns look-ahead placement on, on hosts that run requests and jobs and on those that run only jobs.
const (
	LookAheadFlag  = "look-ahead"
	LookAheadUsage = "reserve workers for tasks that wait by when running tasks are expected to end (docs/design/look-ahead.md)"
)

// Categories of the flags, each a section of the settings page.
const (
	groupIdentity  = "identity"
	groupAddresses = "addresses"
	groupPlatform  = "platform"
	groupAccess    = "access"
	groupLogs      = "logs"
	groupLimits    = "limits"
)

// Flags returns the command line flags that fill s. Each flag can also be set by its environment variable.
func Flags(s *Settings) []cli.Flag {
	return append([]cli.Flag{
		stringFlag(&s.HostID, "host-id", groupIdentity, "", "name of this host, unique in the deployment"),
		stringFlag(&s.DataCentre, "data-centre", groupIdentity, "", "data centre of this host"),
		stringListFlag(&s.DataCentres, "data-centres", groupIdentity, "all data centres, in the same order on every host"),
		intFlag(&s.Cells, "cells", groupIdentity, 9, "number of cells of the deployment; fixed by the first host that starts"),

		stringFlag(&s.CallerAddress, "caller-address", groupAddresses, "127.0.0.1:8080", "address that serves callers"),
		stringFlag(&s.PeerAddress, "peer-address", groupAddresses, "127.0.0.1:7080", "address that serves other relay hosts"),
		stringFlag(&s.OperatorAddress, "operator-address", groupAddresses, "127.0.0.1:9080", "address that serves operators, metrics and health checks"),
		stringFlag(&s.AdvertiseAddress, "advertise-address", groupAddresses, "", "address at which other relay hosts reach this host; default: peer-address"),
		stringListFlag(&s.Seeds, "seeds", groupAddresses, "peer addresses of relay hosts through which this host joins the deployment"),

		stringListFlag(&s.StoreEndpoints, "store-endpoints", groupPlatform, "addresses of the key-value service"),
		floatFlag(&s.StoreCallRate, "store-call-rate", groupPlatform, DefaultStoreCallRate, "maximum number of calls a second that this host sends to the key-value service"),
		stringFlag(&s.HostListURL, "host-list-url", groupPlatform, "", "URL of the platform's list of live and leaving hosts"),

		stringListFlag(&s.ReadTokens, "operator-read-tokens", groupAccess, "tokens that may read as operator, at least 16 characters each"),
		stringListFlag(&s.EditTokens, "operator-edit-tokens", groupAccess, "tokens that may read and edit as operator, at least 16 characters each"),
		stringFlag(&s.TLSCertificate, "tls-certificate", groupAccess, "", "PEM file with the certificate of this host; reloaded when it changes"),
		stringFlag(&s.TLSKey, "tls-key", groupAccess, "", "PEM file with the key of the certificate"),
		stringFlag(&s.TLSCA, "tls-ca", groupAccess, "", "PEM file with the authorities that sign the certificates of relay hosts"),
		boolFlag(&s.Plain, "plain", groupAccess, "use unencrypted connections between relay hosts and to operators"),

		stringFlag(&s.LogFormat, "log-format", groupLogs, "text", "text or json"),
		stringFlag(&s.LogLevel, "log-level", groupLogs, "info", "error, warning, info or debug"),

		durationFlag(&s.DrainTimeout, "drain-timeout", groupLimits, 30*time.Second, "maximum time that a graceful shutdown waits for requests in progress"),
		durationFlag(&s.LongestRequest, "longest-request", groupLimits, DefaultLongestRequest, "maximum time for which a request may hold a slot of a target"),
		durationFlag(&s.EvacuationBound, "evacuation-bound", groupLimits, 0, "time from a request for the evacuation of a data centre until nothing more may start there; 0 turns evacuations off; the same on all hosts"),
		intFlag(&s.MaxCallerConnections, "max-caller-connections", groupLimits, 4096, "maximum number of open connections of callers"),
		intFlag(&s.MaxPeerConnections, "max-peer-connections", groupLimits, DefaultMaxPeerConnections, "maximum number of open connections of other relay hosts"),
		durationFlag(&s.KeyRetention, "key-retention", groupLimits, ledger.DefaultRetention, "how long after its issue an idempotency key may be used; the same on all hosts, fixed by the first host that starts"),
		intFlag(&s.LedgerRecords, "ledger-records", groupLimits, 500_000, "maximum number of idempotency records held at once"),
		intFlag(&s.LedgerMB, "ledger-mb", groupLimits, 256, "maximum memory for idempotency records, in MB"),
		intFlag(&s.MilliCPU, "milli-cpu", groupLimits, 0, "CPU capacity of this host in thousandths of a core, used in the choice of cell owners; 0 if not known"),
		boolFlag(&s.NoSpeculativeCopies, "no-speculative-copies", groupLimits, "start no second attempts of overdue tasks, also in groups that allow them"),
		floatFlag(&s.OffRackSlowdown, "off-rack-slowdown", groupLimits, 0, "how many times as long a task takes away from the rack with its data; tasks wait for a full rack as long as that costs less; 0: they do not wait"),
		boolFlag(&s.LookAhead, LookAheadFlag, groupLimits, LookAheadUsage),
	}, ClientLimitFlags(&s.ClientLimits)...)
}

func stringFlag(target *string, name, group, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func stringListFlag(target *[]string, name, group, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Category: group, Usage: usage + "; separated by commas", Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func intFlag(target *int, name, group string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func floatFlag(target *float64, name, group string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func durationFlag(target *time.Duration, name, group string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func boolFlag(target *bool, name, group, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Category: group, Usage: usage, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

// Environment returns the environment variables, as NAME=value, that set s in a new process.
func Environment(s Settings) []string {
	var out []string
	for _, f := range Flags(&s) {
		if value, ok := formatSetting(flagDestination(f)); ok {
			out = append(out, EnvName(f.Names()[0])+"="+value)
		}
	}
	return out
}

// formatSetting returns the text form of the setting to which target points; ok is false if it has its zero value.
func formatSetting(target any) (value string, ok bool) {
	switch v := target.(type) {
	case *string:
		return *v, *v != ""
	case *[]string:
		return strings.Join(*v, ","), len(*v) > 0
	case *int:
		return strconv.Itoa(*v), *v != 0
	case *float64:
		return strconv.FormatFloat(*v, 'g', -1, 64), *v != 0
	case *time.Duration:
		return v.String(), *v != 0
	case *bool:
		return "true", *v
	default:
		return "", false
	}
}

// flagDestination returns a pointer to the setting that a flag fills, or nil for an unknown type of flag.
func flagDestination(f cli.Flag) any {
	switch f := f.(type) {
	case *cli.StringFlag:
		return f.Destination
	case *cli.StringSliceFlag:
		return f.Destination
	case *cli.IntFlag:
		return f.Destination
	case *cli.FloatFlag:
		return f.Destination
	case *cli.DurationFlag:
		return f.Destination
	case *cli.BoolFlag:
		return f.Destination
	default:
		return nil
	}
}
