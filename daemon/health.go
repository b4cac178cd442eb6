package daemon

import (
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"
)

// phase is the stage of a host's life.
type phase int32

const (
	phaseStarting phase = iota
	phaseReady
	phaseDraining
)

func (p phase) String() string {
	switch p {
	case phaseReady:
		return "ready"
	case phaseDraining:
		return "draining"
	default:
		return "starting"
	}
}

// health tells the load balancer and operators whether this host accepts requests.
type health struct {
	phase atomic.Int32
	view  func() hostView
}

// hostView is the present state of a host for its health report.
type hostView struct {
	// notReadyReason says why the host cannot accept requests; "" if it can.
	notReadyReason string
	tableRevision  uint64
	ownedCells     int
	members        int
}

func (h *health) setPhase(p phase) {
	h.phase.Store(int32(p))
}

func (h *health) inPhase(p phase) bool {
	return phase(h.phase.Load()) == p
}

// healthReply is the JSON body of /healthz and /readyz.
type healthReply struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	// TableRevision is the revision of the table in force; 0 if there is none.
	TableRevision uint64 `json:"table_revision"`
	// OwnedCells is the number of cells whose owner this host knows.
	OwnedCells int `json:"owned_cells"`
	// Members is the number of running relay hosts that this host knows, including itself.
	Members int `json:"members"`
}

func (h *health) reply() healthReply {
	view := h.view()
	reply := healthReply{
		State:         phase(h.phase.Load()).String(),
		TableRevision: view.tableRevision,
		OwnedCells:    view.ownedCells,
		Members:       view.members,
	}
	if h.inPhase(phaseReady) {
		reply.Reason = view.notReadyReason
	}
	return reply
}

// register adds /healthz, which answers 200 while the process is up, and /readyz, which answers 200 only while the
// host accepts requests and otherwise says why not.
func (h *health) register(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error {
		return c.JSON(http.StatusOK, h.reply())
	})
	e.GET("/readyz", func(c echo.Context) error {
		reply := h.reply()
		if reply.State != phaseReady.String() || reply.Reason != "" {
			return c.JSON(http.StatusServiceUnavailable, reply)
		}
		return c.JSON(http.StatusOK, reply)
	})
}

// closeConnectionsOnDrain is middleware that tells callers to close their connections while this host drains, so that
// they open the next one to another host. This host does not close idle connections itself at the start of a drain: a
// request that a caller has just written to one would be lost, and the caller could not know whether it ran.
func (h *health) closeConnectionsOnDrain(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if h.inPhase(phaseDraining) {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}
