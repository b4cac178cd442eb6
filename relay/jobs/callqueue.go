package jobs

import (
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// enqueueCall queues a command for a worker and sends it if maxCallsPerWorker and, for a start, the window of the owner allow.
func (o *owner) enqueueCall(id ident.WorkerID, command lifecycle.Command) {
	c, ok := o.conns[id]
	if !ok {
		o.answerNotSent(id, command)
		return
	}
	c.outbox = append(c.outbox, command)
	o.queuedCalls.Add(1)
	o.sendQueuedCalls(c)
}

func (o *owner) sendQueuedCalls(c *workerConn) {
	for c.callsInFlight < maxCallsPerWorker && len(c.outbox) > 0 {
		command := c.outbox[0]
		_, throttles := command.(lifecycle.ThrottleTask)
		_, starts := command.(lifecycle.StartTask)
		if starts && c.throttlesInFlight > 0 {
			return
		}
		if starts && !o.starts.HasRoom() {
			o.awaitStartWindow(c)
			return
		}
		if starts {
			o.starts.Sent()
		}
		c.outbox = c.outbox[1:]
		o.queuedCalls.Add(-1)
		c.callsInFlight++
		if throttles {
			c.throttlesInFlight++
		}
		m := c.member
		o.run("a call to a worker", func() {
			answer := o.send(m, command)
			o.post(func() {
				c.callsInFlight--
				if throttles {
					c.throttlesInFlight--
				}
				o.apply(answer())
				o.sendWaitingStarts()
				o.sendQueuedCalls(c)
			})
		}, nil)
	}
}

// awaitStartWindow queues a worker whose next command is a start until the window has room for it.
func (o *owner) awaitStartWindow(c *workerConn) {
	if !c.awaitsWindow {
		c.awaitsWindow = true
		o.startQueue = append(o.startQueue, c)
	}
}

// sendWaitingStarts sends the queued calls of the workers whose starts waited for the window, in the order in which they began
// to wait.
func (o *owner) sendWaitingStarts() {
	for len(o.startQueue) > 0 && o.starts.HasRoom() {
		c := o.startQueue[0]
		o.startQueue = o.startQueue[1:]
		c.awaitsWindow = false
		o.sendQueuedCalls(c)
	}
}

// startEnded notes the end of the call of a start, and has the planner run if it waits for the window.
func (o *owner) startEnded(answered bool) {
	o.starts.Ended(answered, o.answerTimes.mean())
	if o.planAwaitsWindow && o.starts.HasRoomForPlan() {
		o.planAwaitsWindow = false
		o.planNeeded = true
	}
}
