package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
)

const (
	flagURL     = "url"
	flagToken   = "token"
	flagTimeout = "timeout"
	flagOutput  = "output"

	outputText = "text"
	outputJSON = "json"

	minTimeout = time.Second
	maxTimeout = time.Hour
)

// env returns the environment variable of a flag as the source of its value.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("RELAYCTL_" + name)
}

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagURL, Value: "http://127.0.0.1:9080", Sources: env("URL"), Usage: "address of any relay host",
		},
		&cli.StringFlag{
			Name: flagToken, Sources: env("TOKEN"),
			Usage: "access token; prefer the environment, because other users can see the arguments of a process",
		},
		&cli.DurationFlag{
			Name: flagTimeout, Value: 30 * time.Second, Sources: env("TIMEOUT"),
			Usage: "longest time for one call, 1s to 1h",
		},
		&cli.StringFlag{
			Name: flagOutput, Aliases: []string{"o"}, Value: outputText, Sources: env("OUTPUT"), Usage: "text or json",
		},
	}
}

// connect returns a client with the settings of the flags. The error lists every invalid setting.
func connect(c *cli.Command) (*operatorhttp.Client, error) {
	var faults []error
	address := c.String(flagURL)
	if u, err := url.Parse(address); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		faults = append(faults, fmt.Errorf("url %q: want http://HOST:PORT or https://HOST:PORT", address))
	}
	if c.String(flagToken) == "" {
		faults = append(faults, fmt.Errorf("token is blank: want at least %d characters", operatorhttp.MinTokenBytes))
	}
	if d := c.Duration(flagTimeout); d < minTimeout || d > maxTimeout {
		faults = append(faults, fmt.Errorf("timeout %s: want %s to %s", d, minTimeout, maxTimeout))
	}
	if err := checkOutput(c); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return nil, exitWith(exitUsage, "settings:\n%w", errors.Join(faults...))
	}
	return &operatorhttp.Client{
		BaseURL: address, Token: c.String(flagToken), HTTP: &http.Client{Timeout: c.Duration(flagTimeout)},
	}, nil
}

// connectIfConfigured is like connect, but returns a nil client if neither a URL nor a token is set.
func connectIfConfigured(c *cli.Command) (*operatorhttp.Client, error) {
	hasURL := c.IsSet(flagURL) && c.String(flagURL) != ""
	if hasURL || c.String(flagToken) != "" {
		return connect(c)
	}
	if err := checkOutput(c); err != nil {
		return nil, exitWith(exitUsage, "settings:\n%w", err)
	}
	return nil, nil
}

func checkOutput(c *cli.Command) error {
	if o := c.String(flagOutput); o != outputText && o != outputJSON {
		return fmt.Errorf("output %q: want %s or %s", o, outputText, outputJSON)
	}
	return nil
}

// checkArgCount returns an error unless the command has minArgs to maxArgs arguments.
func checkArgCount(c *cli.Command, minArgs, maxArgs int) error {
	if n := c.NArg(); n < minArgs || n > maxArgs {
		return exitWith(exitUsage, "got %d arguments; usage: relayctl %s %s", n, c.FullName(), c.ArgsUsage)
	}
	return nil
}
