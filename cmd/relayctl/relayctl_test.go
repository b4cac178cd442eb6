package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/tablepb"
	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"relayctl": main})
}

// Guards against commands that lose an operator's edits, report an uncertain outcome as certain, or exit with an
// undocumented code. The scripts are in testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			s := newSession()
			e.Defer(s.server.Close)
			e.Values["session"] = s
			e.Vars = append(e.Vars, "RELAYCTL_URL="+s.server.URL, "RELAYCTL_TOKEN="+editToken, "USER=ana", "READ="+readToken)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"store": setStore, "code": expectExitCode},
	})
}

const (
	readToken = "read-token-000000000"
	editToken = "edit-token-000000000"
)

// session is the relay host and the store that one script uses.
type session struct {
	engine *kv.Engine
	server *httptest.Server
	// loseAnswers makes the server close the connection after a PUT instead of answering.
	loseAnswers atomic.Bool
}

func newSession() *session {
	s := &session{engine: kv.New(kv.Config{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := ident.Instance{Host: "a", Incarnation: 1}
	service := config.New(config.Settings{
		Self: self, Store: s.engine.Client("a"), Codec: tablepb.Codec{}, Peers: noPeers{self}, Members: noPeers{self}, Log: log,
		CommitTimeout: 2 * time.Second,
	})
	_ = service.Start(context.Background())
	tokens, _ := operatorhttp.NewTokens([]string{readToken}, []string{editToken})
	e := echo.New()
	operators := operatorhttp.New(service, noPeers{}, tokens)
	operators.Register(e)
	operators.RegisterEvacuations(e, &evacuations.Operator{
		Store: s.engine.Client("a"), AllCells: 9,
		Known: func(dc ident.DataCentre) bool { return dc == "nelson" },
		Evacuated: func() ([]lifecycle.EvacuatedCentre, int) {
			nelson := lifecycle.EvacuatedCentre{DataCentre: "nelson", Workers: 3}
			nelson.Stays[evacuation.Ends], nelson.Stays[evacuation.NoBudget] = 5, 2
			return []lifecycle.EvacuatedCentre{nelson}, 1
		},
	})
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.loseAnswers.Load() && r.Method == http.MethodPut {
			e.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		e.ServeHTTP(w, r)
	}))
	return s
}

// noPeers is the cluster of a host without peers. One other member holds a lease but never confirms a revision.
type noPeers struct{ self ident.Instance }

func (noPeers) Capacity() table.Capacity { return table.Capacity{Cells: 9} }

func (noPeers) Digest(context.Context, ident.HostID, config.PeerDigest) (config.PeerDigest, error) {
	return config.PeerDigest{}, io.EOF
}

func (noPeers) Fetch(context.Context, ident.HostID, table.Revision, bool) (config.Update, error) {
	return config.Update{}, io.EOF
}

func (noPeers) LiveHosts() []ident.HostID { return nil }

func (a noPeers) LeasedMembers(context.Context) ([]ident.Instance, error) {
	return []ident.Instance{a.self, {Host: "silent"}}, nil
}

// setStore is the script command "store up|down|lose|lose-answers". The first three set the fault of the store;
// lose-answers makes the server drop its answers.
func setStore(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("session").(*session)
	switch args[0] {
	case "up":
		s.engine.SetFault(kv.Fault{})
	case "down":
		s.engine.SetFault(kv.Fault{Down: true})
	case "lose":
		s.engine.SetFault(kv.Fault{LoseBefore: -1})
	case "lose-answers":
		s.loseAnswers.Store(true)
	default:
		ts.Fatalf("store %s", args[0])
	}
}

// expectExitCode is the script command "code N COMMAND ARGS": the command must end with exit code N.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	want := "exit status " + args[0]
	if args[0] == "0" && err == nil {
		return
	}
	if err == nil || err.Error() != want {
		ts.Fatalf("%v, want %s", err, want)
	}
}

// Guards against a flag that cannot be set by an environment variable, and against a command without a usage text.
func TestEveryFlagHasAnEnvironmentVariable(t *testing.T) {
	var walk func(path string, c *cli.Command)
	walk = func(path string, c *cli.Command) {
		require.NotEmpty(t, c.Usage, path)
		for _, f := range c.Flags {
			variables := f.(cli.DocGenerationFlag).GetEnvVars()
			require.NotEmpty(t, variables, "%s --%s", path, f.Names()[0])
			require.True(t, strings.HasPrefix(variables[0], "RELAYCTL_"), "%s --%s", path, f.Names()[0])
		}
		for _, sub := range c.Commands {
			walk(path+" "+sub.Name, sub)
		}
	}
	walk("relayctl", newRoot(os.Stdin, io.Discard, io.Discard))
}
