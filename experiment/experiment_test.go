package experiment_test

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/experiment"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// TestMain runs the test binary as a relay host if an experiment started it as one.
func TestMain(m *testing.M) {
	deployment.RunChild()
	os.Exit(m.Run())
}

// Guards against an experiment that does not complete, and against output that other programs cannot read: CSV rows of
// different lengths, malformed SVG, or a report that refers to other files.
func TestSmallExperimentWritesCSVAndReport(t *testing.T) {
	o := experiment.Defaults()
	o.Hosts, o.Targets, o.Workers, o.Repetitions = 3, 3, 3, 1
	o.ArmDuration, o.LogDir = 300*time.Millisecond, t.TempDir()
	result, err := experiment.Run(context.Background(), "latency", o)
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	dir := t.TempDir()
	require.NoError(t, result.Write(dir))

	rows := readCSV(t, filepath.Join(dir, "latency.csv"))
	require.Len(t, rows, 1+2*3, "a header, and a row for each arm and load")
	require.Len(t, readCSV(t, filepath.Join(dir, "latency-figures.csv")), 1+len(result.Figures))

	page, err := os.ReadFile(filepath.Join(dir, "latency.html"))
	require.NoError(t, err)
	require.Equal(t, len(result.Plots), bytes.Count(page, []byte("<svg")))
	requireWellFormed(t, page)
	for _, reference := range []string{"src=", "href=", "<script"} {
		require.NotContains(t, string(page), reference)
	}
}

func readCSV(t *testing.T, name string) [][]string {
	t.Helper()
	f, err := os.Open(name)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	// The reader rejects rows of different lengths.
	rows, err := csv.NewReader(f).ReadAll()
	require.NoError(t, err)
	return rows
}

// requireWellFormed checks that the SVG images of a page are well-formed XML.
func requireWellFormed(t *testing.T, page []byte) {
	t.Helper()
	rest := string(page)
	for {
		_, after, found := strings.Cut(rest, "<svg")
		if !found {
			return
		}
		drawing, next, closed := strings.Cut(after, "</svg>")
		require.True(t, closed)
		decoder := xml.NewDecoder(strings.NewReader("<svg" + drawing + "</svg>"))
		for {
			_, err := decoder.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err)
		}
		rest = next
	}
}

// Guards against a mistyped name that is ignored instead of reported with the valid names.
func TestUnknownExperimentIsNamed(t *testing.T) {
	_, err := experiment.Run(context.Background(), "latencies", experiment.Defaults())
	require.ErrorContains(t, err, "latencies")
	require.ErrorContains(t, err, "flood-least")
}
