package daemon

import (
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"
)

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

// health tells the balancer and operators whether this host takes requests.
type health struct {
	phase atomic.Int32
	view  func() hostView
}

// hostView is what a host knows now.
type hostView struct {
	// notReady says why the host cannot take requests; "" if it can.
	notReady      string
	tableRevision uint64
	ownedCells    int
	members       int
}

func (h *health) set(p phase) {
	h.phase.Store(int32(p))
}

func (h *health) is(p phase) bool {
	return phase(h.phase.Load()) == p
}

type healthReply struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	// TableRevision is the revision of the table in force; 0 if there is none.
	TableRevision uint64 `json:"table_revision"`
	// OwnedCells is the number of cells whose owner this host knows.
	OwnedCells int `json:"owned_cells"`
	// Members is the number of running relay hosts that this host knows, with itself.
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
	if h.is(phaseReady) {
		reply.Reason = view.notReady
	}
	return reply
}

// register adds /healthz, which answers 200 while the process works, and /readyz, which answers 200 only while the host
// takes requests and otherwise says why not.
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

// closeConnections is middleware that asks callers to open their next connection elsewhere while this host drains. The
// host does not close idle connections by itself at the start of a drain: a request that a caller has just written to
// one would be lost with it, and the caller could not know whether it ran.
func (h *health) closeConnections(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if h.is(phaseDraining) {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}
