package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// The ports of relay hosts are below the range from which the system takes ephemeral ports, so that no outgoing
// connection takes one while a host is being replaced.
const (
	minPort = 20_000
	maxPort = 32_000
)

// reservedPorts holds the lock files of the ports that this process has reserved. Until it ends, they keep other
// processes that run deployments, such as the tests of another package, from using the same ports.
var reservedPorts struct {
	mu    sync.Mutex
	files map[int]*os.File
}

// reservePort locks a port for this process. It returns false if this or another process has reserved it. The caller
// must hold reservedPorts.mu.
func reservePort(port int) bool {
	if reservedPorts.files == nil {
		reservedPorts.files = make(map[int]*os.File)
	}
	if reservedPorts.files[port] != nil {
		return false
	}
	dir := filepath.Join(os.TempDir(), "bulrushrelay-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false
	}
	f, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(port)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return false
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return false
	}
	reservedPorts.files[port] = f
	return true
}

// reserveAddresses returns n loopback addresses that are free and reserves them for this process. A relay host needs
// fixed addresses, because the process that replaces it listens on the same ones.
func reserveAddresses(n int) ([]string, error) {
	reservedPorts.mu.Lock()
	defer reservedPorts.mu.Unlock()
	var out []string
	start := rand.IntN(maxPort - minPort)
	for i := range maxPort - minPort {
		port := minPort + (start+i)%(maxPort-minPort)
		if !reservePort(port) {
			continue
		}
		address := fmt.Sprintf("%s:%d", loopback, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports between %d and %d", n, minPort, maxPort)
}
