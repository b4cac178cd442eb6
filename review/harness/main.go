// Command harness plays the scripted cases of the review: it starts hosts of the system under test as processes, with
// stand-ins of the platform's store, of the workers and of clients, causes a disruption, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// testCase plays a case. disrupt is false if the disruption is left out. It returns what broke the rule.
type testCase struct {
	workers, hosts int
	play           func(c *cluster, disrupt bool) (broken []string, err error)
}

var cases = map[string]testCase{
	"late-snapshot-head":      {workers: 3, hosts: 3, play: playLateSnapshotHead},
	"failure-in-snapshot":     {workers: 3, hosts: 3, play: playFailureInSnapshot},
	"answer-of-a-stale-owner": {workers: 3, hosts: 9, play: playAnswerOfStaleOwner},
	"withdrawn-submission":    {workers: 3, hosts: 3, play: playWithdrawnSubmission},
	"seen-in-an-older-life":   {workers: 8, hosts: 3, play: playSeenInOlderLife},
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	flag.Parse()
	os.Exit(run(*name, filepath.Join(*dir, "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func run(name, recordPath string, disrupt bool) int {
	tc, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	c, err := newCluster(recordPath, tc.workers, tc.hosts)
	if c == nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return exitNotRun
	}
	defer c.close()
	if err != nil {
		return notRun(c, err)
	}
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := tc.play(c, disrupt)
		done <- outcome{broken, err}
	}()
	select {
	case got := <-signals:
		return notRun(c, fmt.Errorf("ended by signal %s", got))
	case o := <-done:
		switch {
		case o.err != nil:
			return notRun(c, o.err)
		case len(o.broken) > 0:
			for _, line := range o.broken[:min(len(o.broken), 5)] {
				fmt.Println("broken:", line)
			}
			for _, line := range o.broken {
				c.record("broken: %s", line)
			}
			fmt.Printf("the rule was broken %d times\n", len(o.broken))
			return exitBroken
		}
	case <-time.After(maxDuration - time.Since(c.began)):
		return notRun(c, fmt.Errorf("the case took longer than %s", maxDuration))
	}
	c.record("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func notRun(c *cluster, err error) int {
	c.record("not run: %v", err)
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
