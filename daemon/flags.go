package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/core/ledger"
)

// envPrefix starts the name of each environment variable.
const envPrefix = "BULRUSH_"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

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
	return []cli.Flag{
		text(&s.HostID, "host-id", groupIdentity, "", "name of this host, unique in the deployment"),
		text(&s.DataCentre, "data-centre", groupIdentity, "", "data centre of this host"),
		list(&s.DataCentres, "data-centres", groupIdentity, "all data centres, in the same order on every host"),
		number(&s.Cells, "cells", groupIdentity, 9, "number of cells of the deployment; fixed by the first host that starts"),

		text(&s.CallerAddress, "caller-address", groupAddresses, "127.0.0.1:8080", "address that serves callers"),
		text(&s.PeerAddress, "peer-address", groupAddresses, "127.0.0.1:7080", "address that serves other relay hosts"),
		text(&s.OperatorAddress, "operator-address", groupAddresses, "127.0.0.1:9080", "address that serves operators, metrics and health checks"),
		text(&s.AdvertiseAddress, "advertise-address", groupAddresses, "", "address at which other relay hosts reach peer-address; default: peer-address"),
		list(&s.Seeds, "seeds", groupAddresses, "peer addresses of other relay hosts to join through"),

		list(&s.StoreEndpoints, "store-endpoints", groupPlatform, "addresses of the key-value service"),
		rate(&s.StoreCallRate, "store-call-rate", groupPlatform, DefaultStoreCallRate, "most calls a second that this host sends to the key-value service"),
		text(&s.HostListURL, "host-list-url", groupPlatform, "", "URL of the platform's list of live and leaving hosts"),

		list(&s.ReadTokens, "operator-read-tokens", groupAccess, "tokens that may read as operator, at least 16 characters each"),
		list(&s.EditTokens, "operator-edit-tokens", groupAccess, "tokens that may read and edit as operator, at least 16 characters each"),
		text(&s.TLSCertificate, "tls-certificate", groupAccess, "", "PEM file with the certificate of this host; reloaded when it changes"),
		text(&s.TLSKey, "tls-key", groupAccess, "", "PEM file with the key of the certificate"),
		text(&s.TLSCA, "tls-ca", groupAccess, "", "PEM file with the authorities that sign the certificates of relay hosts"),
		flag(&s.Plain, "plain", groupAccess, "use unencrypted connections between relay hosts and towards operators"),

		text(&s.LogFormat, "log-format", groupLogs, "text", "text or json"),
		text(&s.LogLevel, "log-level", groupLogs, "info", "error, warning, info or debug"),

		duration(&s.DrainTimeout, "drain-timeout", groupLimits, 30*time.Second, "longest time that a planned stop waits for requests in progress"),
		duration(&s.LongestRequest, "longest-request", groupLimits, DefaultLongestRequest, "longest time for which a request may hold a slot of a target"),
		number(&s.MaxCallerConnections, "max-caller-connections", groupLimits, 4096, "most open connections of callers"),
		number(&s.MaxPeerConnections, "max-peer-connections", groupLimits, DefaultMaxPeerConnections, "most open connections of other relay hosts"),
		duration(&s.KeyRetention, "key-retention", groupLimits, ledger.DefaultRetention, "how long after its issue an idempotency key may be used, the same on all hosts; fixed by the first host that starts"),
		number(&s.LedgerRecords, "ledger-records", groupLimits, 500_000, "most idempotency records held at once"),
		number(&s.LedgerMB, "ledger-mb", groupLimits, 256, "most memory of idempotency records, in MB"),
		number(&s.MilliCPU, "milli-cpu", groupLimits, 0, "processor time of this host in thousandths of a core, by which owners of cells are chosen; 0 if not known"),
	}
}

func text(target *string, name, group, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func list(target *[]string, name, group, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Category: group, Usage: usage + "; separated by commas", Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func number(target *int, name, group string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func rate(target *float64, name, group string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func duration(target *time.Duration, name, group string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Category: group, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func flag(target *bool, name, group, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Category: group, Usage: usage, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

// Environment returns the environment variables that set s, for a process that is started with them.
func Environment(s Settings) []string {
	var out []string
	for _, f := range Flags(&s) {
		if value, ok := format(destination(f)); ok {
			out = append(out, EnvName(f.Names()[0])+"="+value)
		}
	}
	return out
}

// format returns the text form of a setting; ok is false if it has its zero value.
func format(target any) (value string, ok bool) {
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

func destination(f cli.Flag) any {
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
