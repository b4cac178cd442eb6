package daemon

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/clientconn"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/intake"
)

const (
	// defaultMemoryMB is the memory of a process that is not told how much it has.
	defaultMemoryMB = 256
	// requestMemoryDivisor leaves the rest of the memory to the state of the host, to what requests are decoded to, and to
	// garbage.
	requestMemoryDivisor = 10
	// minRequestMemoryMB holds the largest message of another host, peergrpc.MaxMessageBytes, beside requests of clients.
	minRequestMemoryMB = 9
	// programMB is the resident size of the program itself, which the limit of the Go runtime does not count. Of the rest
	// the runtime gets three quarters, because it may exceed its limit for a short time.
	programMB                              = 16
	goMemoryNumerator, goMemoryDenominator = 3, 4

	// defaultHeaderLines is four times the number of fields that a caller's request may have.
	defaultHeaderLines = 256
	// defaultBodyRate is in bytes a second. A body of 256 KB needs 8.7 KB a second to arrive within readTimeout.
	defaultBodyRate = 4 << 10
	// bodyGrace is the time before the rate is checked, and the longest time without a byte.
	bodyGrace = 5 * time.Second

	// A quarter of the descriptors is reserved unless set; half of that is for the connections that other hosts open.
	reservedDivisor = 4
	peerDivisor     = 2
	// Of the other descriptors, an eighth is for each of the small ports, and the rest for callers.
	statusDivisor      = 8
	minPortConnections = 8
)

// ClientLimits bounds what clients outside our control can hold. 0 means the default of each.
type ClientLimits struct {
	// MemoryMB is the memory of the process.
	MemoryMB int
	// RequestMemoryMB is the memory that requests may hold.
	RequestMemoryMB int
	MaxHeaderLines  int
	// MinBodyRate is in bytes a second.
	MinBodyRate int
	// MaxDescriptors is the number of descriptors that the process may open.
	MaxDescriptors int
	// ReservedDescriptors is the number of descriptors that connections of clients may not use.
	ReservedDescriptors int
}

// ClientLimitFlags returns the flags that fill l.
func ClientLimitFlags(l *ClientLimits) []cli.Flag {
	return []cli.Flag{
		intFlag(&l.MemoryMB, "memory-mb", groupLimits, 0, "memory of this process, in MB; 0: GOMEMLIMIT, else the limit of the control group, else 256"),
		intFlag(&l.RequestMemoryMB, "request-memory-mb", groupLimits, 0, "maximum memory for requests of clients that are arriving or in progress, in MB; 0: a tenth of the memory, at least 9"),
		intFlag(&l.MaxHeaderLines, "max-header-lines", groupLimits, defaultHeaderLines, "maximum number of lines in the head of a request"),
		intFlag(&l.MinBodyRate, "min-body-rate", groupLimits, defaultBodyRate, "rate, in bytes a second, at which a body must arrive on average after 5 s; nor may it pause for 5 s"),
		intFlag(&l.MaxDescriptors, "max-descriptors", groupLimits, 0, "file descriptors that this process may open; 0: the limit on open files of the process, which also holds if it is lower"),
		intFlag(&l.ReservedDescriptors, "reserved-descriptors", groupLimits, 0, "file descriptors that connections of clients leave free for other hosts, workers, targets and the store; 0: a quarter of max-descriptors"),
	}
}

// Validate returns one error that lists every fault of the limits.
func (l ClientLimits) Validate() error {
	var faults faultList
	l.validateClientLimits(&faults)
	return faults.err()
}

func (l ClientLimits) validateClientLimits(faults *faultList) {
	faults.checkRange("memory-mb", l.MemoryMB, 0, maxMemoryMB, "MB")
	faults.checkRange("request-memory-mb", l.RequestMemoryMB, 0, maxMemoryMB, "MB")
	faults.checkRange("max-header-lines", l.MaxHeaderLines, 0, maxHeaderBytes, "lines")
	faults.checkRange("min-body-rate", l.MinBodyRate, 0, 1<<20, "bytes a second")
	faults.checkRange("max-descriptors", l.MaxDescriptors, 0, 2*maxConnections, "descriptors")
	faults.checkRange("reserved-descriptors", l.ReservedDescriptors, 0, maxConnections, "descriptors")
}

const maxMemoryMB = 1 << 20

// withDefaults returns l with the defaults of this process in place of zeros.
func (l ClientLimits) withDefaults() ClientLimits {
	if l.MemoryMB == 0 {
		l.MemoryMB = givenMemoryMB()
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.RequestMemoryMB == 0 {
		l.RequestMemoryMB = max(minRequestMemoryMB, l.MemoryMB/requestMemoryDivisor)
	}
	if l.MaxHeaderLines == 0 {
		l.MaxHeaderLines = defaultHeaderLines
	}
	if l.MinBodyRate == 0 {
		l.MinBodyRate = defaultBodyRate
	}
	if limit := descriptorLimit(); l.MaxDescriptors == 0 || l.MaxDescriptors > limit {
		l.MaxDescriptors = limit
	}
	if l.ReservedDescriptors == 0 {
		l.ReservedDescriptors = l.MaxDescriptors / reservedDivisor
	}
	return l
}

// ApplyMemoryLimit lets the Go runtime collect garbage early enough for the memory of the process. It is meant for a process
// of its own, and called once. GOMEMLIMIT counts as the memory of the process, so that the runtime gets less. It is never
// raised. Without a known memory the runtime has no limit, because it would collect all the time near one that is too low.
func (l ClientLimits) ApplyMemoryLimit() ClientLimits {
	if l.MemoryMB == 0 {
		l.MemoryMB = givenMemoryMB()
	}
	if l.MemoryMB == 0 {
		return l
	}
	runtimeMB := max(l.MemoryMB-programMB, l.MemoryMB/2)
	debug.SetMemoryLimit(min(debug.SetMemoryLimit(-1), int64(runtimeMB)*bytesPerMB/goMemoryDenominator*goMemoryNumerator))
	return l
}

// newGuard returns the guard of the HTTP ports of a host.
func (l ClientLimits) newGuard(m *telemetry.Registry) *clientconn.Guard {
	l = l.withDefaults()
	budget := intake.New(intake.Config{
		Bytes: int64(l.RequestMemoryMB) * bytesPerMB, MinRate: int64(l.MinBodyRate), Grace: bodyGrace,
	})
	return clientconn.NewGuard(budget, l.MaxHeaderLines, func(cause intake.Cause) {
		m.Counter("client_requests_refused_total", telemetry.Label{Name: "cause", Value: string(cause)}).Inc(1)
	})
}

func exportGuard(m *telemetry.Registry, g *clientconn.Guard) {
	m.Gauge("client_request_bytes").Update(g.Budget().Used())
	m.Gauge("client_request_limit_bytes").Update(g.Budget().Limit())
}

// connectionLimits holds the number of connections that each kind of port accepts.
type connectionLimits struct {
	callers, status, peers int
}

// connections returns how many connections the ports may accept, at most the given numbers, so that the reserved
// descriptors stay free.
func (l ClientLimits) connections(callers, status, peers int) connectionLimits {
	l = l.withDefaults()
	return shareDescriptors(l.MaxDescriptors, l.ReservedDescriptors, callers, status, peers)
}

func shareDescriptors(limit, reserved, callers, status, peers int) connectionLimits {
	forClients := max(limit-reserved, 0)
	perStatusPort := max(forClients/statusDivisor, minPortConnections)
	return connectionLimits{
		callers: min(callers, max(forClients-2*perStatusPort, minPortConnections)),
		status:  min(status, perStatusPort),
		peers:   min(peers, max(reserved/peerDivisor, minPortConnections)),
	}
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 2 * maxConnections
	}
	return int(min(limit.Cur, 2*maxConnections))
}

// givenMemoryMB returns the memory that this process is given by GOMEMLIMIT or its control group; 0 if it is not known.
func givenMemoryMB() int {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return int(limit / bytesPerMB)
	}
	groups, err := os.ReadFile("/proc/self/cgroup")
	if err != nil {
		return 0
	}
	return memoryOfGroup(string(groups), "/sys/fs/cgroup", os.ReadFile)
}

// memoryOfGroup returns the memory in MB of the control groups listed in groups, in the form of /proc/self/cgroup; 0 if they
// have no limit.
func memoryOfGroup(groups, root string, read func(string) ([]byte, error)) int {
	for line := range strings.Lines(groups) {
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(parts) != 3 {
			continue
		}
		var files []string
		switch parts[1] {
		case "":
			// A container sees its own group as the root.
			files = []string{filepath.Join(root, parts[2], "memory.max"), filepath.Join(root, "memory.max")}
		case "memory":
			files = []string{filepath.Join(root, "memory", parts[2], "memory.limit_in_bytes"), filepath.Join(root, "memory", "memory.limit_in_bytes")}
		default:
		}
		for _, f := range files {
			text, err := read(f)
			if err != nil {
				continue
			}
			// A group without a limit says "max", or a number far above any memory.
			n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
			if err == nil && n >= bytesPerMB && n/bytesPerMB <= maxMemoryMB {
				return int(n / bytesPerMB)
			}
		}
	}
	return 0
}
