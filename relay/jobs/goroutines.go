package jobs

import "github.com/bulrushrelay/bulrushrelay/internal/contain"

// run starts a goroutine of the owner. A panic in it ends the owner but not the process. It calls atEnd, which may be nil,
// in any case.
func (o *owner) run(name string, f, atEnd func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		if atEnd != nil {
			defer atEnd()
		}
		defer contain.Recover(o.logger, name, func() {
			o.crashed.Store(true)
			o.replaced("unexpected error in " + name)
		})
		f()
	}()
}

// endLoop runs when the loop has ended. No event runs any more.
func (o *owner) endLoop() {
	o.waits.clear(o.cfg.Meter, o.cellID)
	close(o.loopDone)
	o.stopConns()
}
