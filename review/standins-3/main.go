// Command standins-3 plays the cases of the third review against hosts of the deploy file: it holds the stand-ins of the
// platform's store, of the workers, of the operator and of the clients, starts the hosts as separate processes on loopback
// addresses, and checks one rule from what clients and workers have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case, so that it ends within 120 s whatever happens.
const maxCaseTime = 100 * time.Second

// play runs a case and returns its exit code. trouble is false if the case is to run without the disruption.
type play func(w *world, trouble bool) int

var cases = map[string]play{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RELAYD RECORD")
		os.Exit(exitNotRun)
	}
	p, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(p, os.Args[2], os.Args[3]))
}

func run(p play, relayd, record string) int {
	w, err := newWorld(relayd, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	done := make(chan int, 1)
	go func() { done <- p(w, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := exitNotRun
	select {
	case code = <-done:
	case <-time.After(maxCaseTime):
		w.log("the case took too long")
	case <-stop:
		w.log("the case was stopped")
	}
	w.log("exit code %d", code)
	return code
}
