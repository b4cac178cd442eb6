package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/action"
)

func testSize() Size {
	return Size{
		Processes: true,
		Hosts:     []string{"a-1", "b-1", "c-1", "a-2", "b-2", "c-2"}, Strong: []string{"a-1", "b-1", "c-1"}, DataCentres: []string{"a", "b", "c"}, Targets: 6, Workers: 6,
	}
}

// Guards against a schedule that cannot be repeated: the same seed, or the printed steps, must give the same schedule.
func TestScheduleIsRepeatable(t *testing.T) {
	steps := Generate(7, 5*time.Minute, testSize())
	require.Equal(t, steps, Generate(7, 5*time.Minute, testSize()))
	require.NotEqual(t, steps, Generate(8, 5*time.Minute, testSize()))
	var text strings.Builder
	for _, s := range steps {
		fmt.Fprintln(&text, s)
	}
	read, err := Parse(strings.NewReader("# a comment\n\n" + text.String()))
	require.NoError(t, err)
	require.Equal(t, steps, read)
	for _, bad := range []string{"host kill a", "1s", "-1s host kill a"} {
		_, err := Parse(strings.NewReader(bad))
		require.Error(t, err, bad)
	}
}

// Guards against a schedule that leaves a failure in force at its end, which would look like a broken guarantee, that
// stops all hosts at once, or that acts on a host that another failure holds.
func TestScheduleEndsItsFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(5, 300).Draw(t, "seconds")) * time.Second
		held := make(map[string]string)
		for _, s := range Generate(rapid.Uint64().Draw(t, "seed"), duration, testSize()) {
			require.LessOrEqual(t, s.At, duration)
			words := strings.Join(s.Words, " ")
			switch w := s.Words; {
			case w[0] == "host" && (w[1] == "kill" || w[1] == "pause"):
				require.Empty(t, held["host "+w[2]], words)
				held["host "+w[2]] = w[1]
			case w[0] == "host" && (w[1] == "hang-up" || w[1] == "strong"):
			case w[0] == "host":
				require.Equal(t, map[string]string{"start": "kill", "resume": "pause"}[w[1]], held["host "+w[2]], words)
				delete(held, "host "+w[2])
			case w[0] == "links" && w[1] == "cut":
				held["links "+w[2]+w[3]] = "cut"
			case w[0] == "links":
				delete(held, "links "+w[2]+w[3])
			case w[0] == "store" && w[1] == "up":
				delete(held, "store")
			case w[0] == "store":
				require.Empty(t, held["store"], words)
				held["store"] = w[1]
			case w[0] == "proxy" && w[2] == "up":
				require.NotEmpty(t, held[words[:len(words)-len(" up")]], words)
				delete(held, words[:len(words)-len(" up")])
			case w[0] == "proxy" && w[2] == "reset":
				require.Empty(t, held["proxy "+w[1]], words)
			case w[0] == "proxy":
				require.Empty(t, held["proxy "+w[1]], words)
				held["proxy "+w[1]] = w[2]
			case w[0] == "rolling" || w[0] == "replace" || w[0] == "churn" || w[0] == "race" || w[0] == "flood":
			case w[1] == "fault" && w[3] == "none":
				delete(held, w[0]+w[2])
			case w[1] == "fault":
				held[w[0]+w[2]] = w[3]
			default:
			}
			down := 0
			for name := range held {
				if strings.HasPrefix(name, "host ") {
					down++
				}
			}
			require.Less(t, down, len(testSize().Hosts))
		}
		require.Empty(t, held)
	})
}

// Guards against a kept schedule that can no longer be run, and against one without its cause. Each is the schedule of a
// run that failed; relaydev soak --schedule FILE runs it again.
func TestKeptSchedules(t *testing.T) {
	names, err := filepath.Glob("testdata/*.schedule")
	require.NoError(t, err)
	require.NotEmpty(t, names)
	for _, name := range names {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		require.Regexp(t, `^# seed \d+, \S+\n# \S+`, string(text), name)
		steps, err := Parse(strings.NewReader(string(text)))
		require.NoError(t, err, name)
		require.NotEmpty(t, steps, name)
		for _, s := range steps {
			known := slices.Contains(action.Verbs(), s.Words[0]) || slices.Contains([]string{"replace", "rolling", "churn", "flood", "race"}, s.Words[0])
			require.True(t, known, "%s: %s", name, s)
		}
	}
}

// Guards against steps that hosts in one process cannot take, and against schedules of recorded failures that change with
// the steps for processes.
func TestScheduleWithoutProcesses(t *testing.T) {
	size := testSize()
	size.Processes = false
	for seed := range uint64(50) {
		for _, s := range Generate(seed, 5*time.Minute, size) {
			require.NotContains(t, []string{"proxy", "rolling", "churn"}, s.Words[0])
			require.NotContains(t, []string{"hang-up", "strong"}, s.Words[1])
		}
	}
}
