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
	// childEnvVariable is set in the environment of child processes, which RunChild then runs as relay hosts.
	childEnvVariable  = "BULRUSH_STANDIN_CHILD"
	readyPollInterval = 20 * time.Millisecond
)

// RunChild runs this process as a relay host if a Deployment has started it as one, and does not return in that case.
// Programs and test binaries that use a Deployment must call it first.
func RunChild() {
	if os.Getenv(childEnvVariable) == "" {
		return
	}
	if err := runHost(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, daemon.ErrDrainTimeout) {
			os.Exit(3)
		}
		os.Exit(1)
	}
	os.Exit(0)
}

// runHost runs a relay host with settings from the environment and link commands from standard input.
func runHost() error {
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
			go applyLinkCommands(links, os.Stdin)
			dial := links.Dialer(network.Zone(settings.DataCentre))
			host, err := daemon.New(settings, daemon.Options{
				DialPeer: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) },
			}, daemon.NewLogger(settings, os.Stderr))
			if err != nil {
				return err
			}
			return host.Run(ctx)
		},
	}
	return command.Run(ctx, []string{"relayd"})
}

// linkCommand changes the simulated network of a child process: it assigns Address to zone A if Address is set, else
// cuts or restores the links between zones A and B if Cut is set, else sets their Delay.
type linkCommand struct {
	Address string        `json:"place,omitempty"`
	A       network.Zone  `json:"a"`
	B       network.Zone  `json:"b,omitempty"`
	Delay   time.Duration `json:"delay,omitempty"`
	Cut     *bool         `json:"cut,omitempty"`
}

// applyLinkCommands applies link commands from in, one JSON object on each line, until it ends.
func applyLinkCommands(links *network.Network, in io.Reader) {
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		var c linkCommand
		if err := json.Unmarshal(scanner.Bytes(), &c); err != nil {
			fmt.Fprintln(os.Stderr, "link command:", err)
			continue
		}
		switch {
		case c.Address != "":
			links.SetZone(c.Address, c.A)
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
	exitErr  error
	// stopping is set before the process is signalled to end.
	stopping atomic.Bool

	// mu guards writes to linkCommands, so that lines do not mix.
	mu           sync.Mutex
	linkCommands io.WriteCloser
}

// startProcess starts a relay host, which appends its log to the file HOST.log in logDir.
func startProcess(s daemon.Settings, logDir string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the path of this executable: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(logDir, s.HostID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{settings: s, command: exec.Command(self), exited: make(chan struct{})}
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.Env = append(os.Environ(), childEnvVariable+"=1")
	p.command.Env = append(p.command.Env, daemon.Environment(s)...)
	// Pdeathsig kills the child when this program ends for any reason. Setpgid gives the child a process group of its
	// own. Otherwise the host would die if the shell that started this program ended while the host was stopped,
	// because the kernel sends SIGHUP to an orphaned process group with a stopped member.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if p.linkCommands, err = p.command.StdinPipe(); err != nil {
		_ = log.Close()
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start relay host %s: %w", s.HostID, err)
	}
	go func() {
		p.exitErr = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) sendLinkCommand(c linkCommand) error {
	line, err := json.Marshal(c)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err = p.linkCommands.Write(append(line, '\n'))
	return err
}

// awaitHealth waits until accept returns true for the answer to a health check at path on the operator address.
func (p *process) awaitHealth(ctx context.Context, path string, accept func(status int, reply healthReply) bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	lastReply := "no answer"
	for {
		select {
		case <-p.exited:
			return fmt.Errorf("relay host %s ended: %w", p.settings.HostID, p.exitErr)
		case <-ctx.Done():
			return fmt.Errorf("relay host %s is not ready: %s", p.settings.HostID, lastReply)
		case <-ticker.C:
		}
		status, reply, err := p.health(ctx, path)
		if err != nil {
			continue
		}
		if accept(status, reply) {
			return nil
		}
		lastReply = fmt.Sprintf("%+v", reply)
	}
}

// healthReply holds the fields of a health check that a Deployment uses.
type healthReply struct {
	State         string `json:"state"`
	Reason        string `json:"reason"`
	TableRevision uint64 `json:"table_revision"`
	OwnedCells    int    `json:"owned_cells"`
	Members       int    `json:"members"`
}

// health makes one health check at path on the operator address.
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

// stop sends the signal s and waits for the process to end. The process is killed if ctx ends first.
func (p *process) stop(ctx context.Context, s syscall.Signal) error {
	p.stopping.Store(true)
	select {
	case <-p.exited:
		return p.exitErr
	default:
	}
	if err := p.signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.exited:
		return p.exitErr
	case <-ctx.Done():
		_ = p.signal(syscall.SIGKILL)
		<-p.exited
		return fmt.Errorf("relay host %s did not end after signal %d: %w", p.settings.HostID, s, ctx.Err())
	}
}
