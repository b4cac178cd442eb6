package main

import (
	"sync/atomic"
	"time"
)

const (
	// restartTime is how long the crashed process of a runner is away, and cutTime how long the runner is cut off
	// afterwards.
	restartTime = 750 * time.Millisecond
	cutTime     = 5500 * time.Millisecond
)

// crashThenCut lets a runner crash and start again under its id, and cuts it off shortly after it has taken a task.
func crashThenCut(w *world) (bool, error) {
	if err := w.setUp(3, "a", "b"); err != nil {
		return false, err
	}
	first := w.runners[0]
	// The second runner is full for the next seconds, so that the job comes to the first.
	if err := w.submit("00000000000000b1", step{Count: 1, Cpu: 8000, MemMb: 1000, EstimateMs: 4000, Requires: "b"}, 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	var cuts atomic.Int32
	if w.trouble {
		first.onStart = func(string, int) {
			if cuts.Add(1) > 1 {
				return
			}
			time.Sleep(100 * time.Millisecond)
			first.setCut(true)
			time.Sleep(cutTime)
			first.setCut(false)
		}
		first.crash()
		time.Sleep(restartTime)
		if err := first.startProcess(); err != nil {
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := w.submit("00000000000000a1", step{Count: 1, Cpu: 5000, MemMb: 1000, EstimateMs: 8000}, 8*time.Second); err != nil {
		return false, err
	}
	time.Sleep(18 * time.Second)
	return w.overlaps() > 0, nil
}
