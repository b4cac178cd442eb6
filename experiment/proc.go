package experiment

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// ticksPerSecond is the number of clock ticks, the unit of times in /proc/<pid>/stat, in a second. It is 100 on every
// Linux system that Go supports.
const ticksPerSecond = 100

// resourceUsage holds the processor time and the resident memory (in MiB) of the relay processes of a deployment.
type resourceUsage struct {
	cpuSeconds float64
	memoryMB   float64
}

// readUsage sums the usage of the running relay processes.
func readUsage(d *deployment.Deployment) (resourceUsage, error) {
	var u resourceUsage
	for _, h := range d.Hosts {
		if !h.Running() {
			continue
		}
		ticks, pages, err := readProcStat(h.PID())
		if err != nil {
			return u, err
		}
		u.cpuSeconds += float64(ticks) / ticksPerSecond
		u.memoryMB += float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	}
	return u, nil
}

// readProcStat returns the processor time of a process in ticks and its resident memory in pages.
func readProcStat(pid int) (ticks, pages int64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// Field 2 is the program's name in parentheses and may contain spaces. The fields after it begin with field 3.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const userTimeIndex, systemTimeIndex, residentPagesIndex = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= residentPagesIndex {
		return 0, 0, fmt.Errorf("/proc/%d/stat has only %d fields after the program name", pid, len(fields))
	}
	for _, i := range []int{userTimeIndex, systemTimeIndex} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += n
	}
	pages, err = strconv.ParseInt(fields[residentPagesIndex], 10, 64)
	return ticks, pages, err
}

// loadAverages returns the load averages of the machine as text.
func loadAverages() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
