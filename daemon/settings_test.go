package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

func validSettings() Settings {
	return Settings{
		HostID: "a1", DataCentre: "north", DataCentres: []string{"north", "south"}, Cells: 6,
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:7080", OperatorAddress: "127.0.0.1:0",
		Seeds: []string{"127.0.0.1:7081"}, StoreEndpoints: []string{"127.0.0.1:2379"}, StoreCallRate: 50,
		HostListURL: "http://127.0.0.1:8500/hosts", ReadTokens: []string{"reader-0123456789"}, EditTokens: []string{"0123456789abcdef"}, Plain: true,
		LogFormat: "json", LogLevel: "info", DrainTimeout: 30 * time.Second, LongestRequest: 30 * time.Second,
		MaxCallerConnections: 100, MaxPeerConnections: 50, KeyRetention: time.Hour, LedgerRecords: 1000, LedgerMB: 16,
		ClientLimits: ClientLimits{MemoryMB: 200, RequestMemoryMB: 20, MaxHeaderLines: 100, MinBodyRate: 2048, MaxDescriptors: 3000, ReservedDescriptors: 300},
	}
}

// Guards against a start that reports one invalid setting at a time, or one without its value and the allowed range.
func TestValidateReportsEveryFault(t *testing.T) {
	require.NoError(t, validSettings().Validate())
	s := validSettings()
	s.HostID = "A 1"
	s.DataCentre = "east"
	s.Cells = 0
	s.PeerAddress = "0.0.0.0:7080"
	s.StoreEndpoints = []string{"store.example:2379"}
	s.EditTokens = []string{"short"}
	s.LogLevel = "loud"
	s.DrainTimeout = 0
	s.KeyRetention = time.Second
	s.Plain = false
	err := s.Validate()
	require.Error(t, err)
	for _, name := range []string{"host-id", "data-centre", "cells", "advertise-address", "store-endpoints", "tokens", "log-level", "drain-timeout", "key-retention", "tls-"} {
		require.Contains(t, err.Error(), name)
	}
	require.NotContains(t, err.Error(), "short", "a token must not reach the log")
	require.Equal(t, 1+strings.Count(err.Error(), "allowed:"), len(strings.Split(err.Error(), "\n")))
}

// Guards against a flag whose environment variable sets another value than the one it was formatted from.
func TestEnvironmentRoundTrip(t *testing.T) {
	want := validSettings()
	want.LookAhead = true
	for _, pair := range Environment(want) {
		name, value, _ := strings.Cut(pair, "=")
		t.Setenv(name, value)
	}
	var got Settings
	command := &cli.Command{Flags: Flags(&got), Action: func(context.Context, *cli.Command) error { return nil }}
	require.NoError(t, command.Run(t.Context(), []string{"relayd"}))
	require.Equal(t, want, got)
}
