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

func scheduleTopology() Topology {
	return Topology{
		SeparateProcesses: true,
		Hosts:             []string{"a-1", "b-1", "c-1", "a-2", "b-2", "c-2"}, StrongHosts: []string{"a-1", "b-1", "c-1"}, DataCentres: []string{"a", "b", "c"}, Targets: 6, Workers: 6,
	}
}

// Guards against schedules that cannot be reproduced: the same seed must give the same schedule, and so must the
// printed steps.
func TestScheduleIsReproducible(t *testing.T) {
	steps := Generate(7, 5*time.Minute, scheduleTopology())
	require.Equal(t, steps, Generate(7, 5*time.Minute, scheduleTopology()))
	require.NotEqual(t, steps, Generate(8, 5*time.Minute, scheduleTopology()))
	var text strings.Builder
	for _, s := range steps {
		fmt.Fprintln(&text, s)
	}
	parsed, err := Parse(strings.NewReader("# a comment\n\n" + text.String()))
	require.NoError(t, err)
	require.Equal(t, steps, parsed)
	for _, bad := range []string{"host kill a", "1s", "-1s host kill a"} {
		_, err := Parse(strings.NewReader(bad))
		require.Error(t, err, bad)
	}
}

// Guards against a schedule that leaves a failure in force at its end, which would look like a violated guarantee, that
// stops all hosts at once, or that acts on a host that is reserved by another failure.
func TestScheduleEndsEachFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(5, 300).Draw(t, "seconds")) * time.Second
		failures := make(map[string]string)
		for _, s := range Generate(rapid.Uint64().Draw(t, "seed"), duration, scheduleTopology()) {
			require.LessOrEqual(t, s.At, duration)
			action := strings.Join(s.Action, " ")
			switch w := s.Action; {
			case w[0] == "host" && (w[1] == "kill" || w[1] == "pause"):
				require.Empty(t, failures["host "+w[2]], action)
				failures["host "+w[2]] = w[1]
			case w[0] == "host" && (w[1] == "hang-up" || w[1] == "strong"):
			case w[0] == "host":
				require.Equal(t, map[string]string{"start": "kill", "resume": "pause"}[w[1]], failures["host "+w[2]], action)
				delete(failures, "host "+w[2])
			case w[0] == "evacuation" && w[1] == "start":
				require.Empty(t, failures["evacuation"], "a further data centre would be emptied")
				failures["evacuation"] = w[2]
			case w[0] == "evacuation":
				require.Equal(t, failures["evacuation"], w[2])
				delete(failures, "evacuation")
			case w[0] == "links" && w[1] == "cut":
				failures["links "+w[2]+w[3]] = "cut"
			case w[0] == "links":
				delete(failures, "links "+w[2]+w[3])
			case w[0] == "store" && w[1] == "up":
				delete(failures, "store")
			case w[0] == "store":
				require.Empty(t, failures["store"], action)
				failures["store"] = w[1]
			case w[0] == "proxy" && w[2] == "up":
				require.NotEmpty(t, failures[action[:len(action)-len(" up")]], action)
				delete(failures, action[:len(action)-len(" up")])
			case w[0] == "proxy" && w[2] == "reset":
				require.Empty(t, failures["proxy "+w[1]], action)
			case w[0] == "proxy":
				require.Empty(t, failures["proxy "+w[1]], action)
				failures["proxy "+w[1]] = w[2]
			case w[0] == "lose":
				require.Empty(t, failures["lost"], "the room of a further worker would be lost")
				failures["lost"] = w[1]
			case w[0] == "kill-owner":
				require.Equal(t, failures["lost"], w[1])
			case w[0] == "find":
				require.Equal(t, failures["lost"], w[1])
				delete(failures, "lost")
			case w[0] == "rolling" || w[0] == "replace" || w[0] == "churn" || w[0] == "race" || w[0] == "flood":
			case w[1] == "fault" && w[3] == "none":
				delete(failures, w[0]+w[2])
			case w[1] == "fault":
				failures[w[0]+w[2]] = w[3]
			default:
			}
			hostFailures := 0
			for name := range failures {
				if strings.HasPrefix(name, "host ") {
					hostFailures++
				}
			}
			require.Less(t, hostFailures, len(scheduleTopology().Hosts))
		}
		require.Empty(t, failures)
	})
}

// Guards against stored schedules that cannot be run any more or do not state their cause. Each is the schedule of a
// run that failed; relaydev soak --schedule FILE runs it again.
func TestStoredSchedulesAreValid(t *testing.T) {
	files, err := filepath.Glob("testdata/*.schedule")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Regexp(t, `^# seed \d+, \S+\n# \S+`, string(text), file)
		steps, err := Parse(strings.NewReader(string(text)))
		require.NoError(t, err, file)
		require.NotEmpty(t, steps, file)
		for _, s := range steps {
			known := slices.Contains(action.Verbs(), s.Action[0]) || slices.Contains([]string{"replace", "rolling", "churn", "flood", "race", "lose", "find", "kill-owner"}, s.Action[0])
			require.True(t, known, "%s: %s", file, s)
		}
	}
}

// Guards against steps that hosts in one process cannot perform. Such steps would also change the schedules of recorded
// failures.
func TestScheduleForOneProcess(t *testing.T) {
	topology := scheduleTopology()
	topology.SeparateProcesses = false
	for seed := range uint64(50) {
		for _, s := range Generate(seed, 5*time.Minute, topology) {
			require.NotContains(t, []string{"proxy", "rolling", "churn"}, s.Action[0])
			require.NotContains(t, []string{"hang-up", "strong"}, s.Action[1])
		}
	}
}
