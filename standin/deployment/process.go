package deployment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
)

const (
	// childVariable makes a program that calls RunChild act as a relay host.
	childVariable     = "BULRUSH_STANDIN_CHILD"
	readyPollInterval = 20 * time.Millisecond
)

// RunChild runs this process as a relay host if it was started as one by a Deployment, and then does not return.
// Programs and test binaries that use a Deployment call it first.
func RunChild() {
	if os.Getenv(childVariable) == "" {
		return
	}
	if err := runChild(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, daemon.ErrDrainTimeout) {
			os.Exit(3)
		}
		os.Exit(1)
	}
	os.Exit(0)
}

// runChild takes the settings from the environment and the state of the links from standard input.
func runChild() error {
	ctx, stop := daemon.StopSignals()
	defer stop()
	var settings daemon.Settings
	command := &cli.Command{
		Name:  "relayd",
		Flags: daemon.Flags(&settings),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := settings.Validate(); err != nil {
				return err
			}
			links := network.New()
			go follow(links, os.Stdin)
			dial := links.Dialer(network.Zone(settings.DataCentre))
			h, err := daemon.New(settings, daemon.Options{
				DialPeer: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) },
			}, daemon.NewLogger(settings, os.Stderr))
			if err != nil {
				return err
			}
			return h.Run(ctx)
		},
	}
	return command.Run(ctx, []string{"relayd"})
}

// linkCommand changes the links of a child process.
type linkCommand struct {
	// Place puts an address in zone A.
	Place string        `json:"place,omitempty"`
	A     network.Zone  `json:"a"`
	B     network.Zone  `json:"b,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
	Cut   *bool         `json:"cut,omitempty"`
}

func follow(links *network.Network, in io.Reader) {
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		var c linkCommand
		if err := json.Unmarshal(scanner.Bytes(), &c); err != nil {
			fmt.Fprintln(os.Stderr, "link command:", err)
			continue
		}
		switch {
		case c.Place != "":
			links.SetZone(c.Place, c.A)
		case c.Cut != nil:
			links.SetCut(c.A, c.B, *c.Cut)
		default:
			links.SetDelay(c.A, c.B, c.Delay)
		}
	}
}

// process is a relay host that runs as a child process.
type process struct {
	settings daemon.Settings
	command  *exec.Cmd
	exited   chan struct{}
	err      error
	// ending is set before the process is told to end.
	ending atomic.Bool

	// mu keeps the lines of link commands apart.
	mu    sync.Mutex
	links io.WriteCloser
}

// startProcess starts a relay host. Its log is appended to a file in logDir.
func startProcess(s daemon.Settings, logDir string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find this program: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(logDir, s.HostID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{settings: s, command: exec.Command(self), exited: make(chan struct{})}
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.Env = append(os.Environ(), childVariable+"=1")
	p.command.Env = append(p.command.Env, daemon.Environment(s)...)
	// The child ends with this program, whatever ends it. It has a process group of its own: if the shell that started this
	// program ends while a host is stopped, the kernel sends SIGHUP to the group that is orphaned, and the host dies.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if p.links, err = p.command.StdinPipe(); err != nil {
		_ = log.Close()
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start relay host %s: %w", s.HostID, err)
	}
	go func() {
		p.err = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) link(c linkCommand) error {
	line, err := json.Marshal(c)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err = p.links.Write(append(line, '\n'))
	return err
}

// await waits until ok accepts what the host answers to a path of its operator address.
func (p *process) await(ctx context.Context, path string, ok func(status int, reply healthReply) bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	last := "no answer"
	for {
		select {
		case <-p.exited:
			return fmt.Errorf("relay host %s ended: %w", p.settings.HostID, p.err)
		case <-ctx.Done():
			return fmt.Errorf("relay host %s is not ready: %s", p.settings.HostID, last)
		case <-ticker.C:
		}
		status, reply, err := p.health(ctx, path)
		if err != nil {
			continue
		}
		if ok(status, reply) {
			return nil
		}
		last = fmt.Sprintf("%+v", reply)
	}
}

// healthReply is the part of the health check that a Deployment looks at.
type healthReply struct {
	State         string `json:"state"`
	Reason        string `json:"reason"`
	TableRevision uint64 `json:"table_revision"`
	OwnedCells    int    `json:"owned_cells"`
	Members       int    `json:"members"`
}

func (p *process) health(ctx context.Context, path string) (status int, reply healthReply, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.OperatorAddress+path, nil)
	if err != nil {
		return 0, reply, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, reply, err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply, err
}

func (p *process) signal(s syscall.Signal) error {
	return p.command.Process.Signal(s)
}

// stop sends s and waits for the process to end. The process is killed when ctx ends.
func (p *process) stop(ctx context.Context, s syscall.Signal) error {
	p.ending.Store(true)
	select {
	case <-p.exited:
		return p.err
	default:
	}
	if err := p.signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-ctx.Done():
		_ = p.signal(syscall.SIGKILL)
		<-p.exited
		return fmt.Errorf("relay host %s did not end after signal %d: %w", p.settings.HostID, s, ctx.Err())
	}
}
