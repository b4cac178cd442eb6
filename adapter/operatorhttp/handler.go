// Package operatorhttp serves the operators' table over HTTP, with an API under /v1/table and a web page under
// /table/. It also holds the client of the API.
package operatorhttp

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

const (
	// MaxBodyBytes bounds the body of a request. A full table of 2000 rows takes about 0.7 MB as JSON.
	MaxBodyBytes = 2 << 20
	// maxConcurrentRequests bounds concurrent operator requests, so that they cannot starve other work.
	maxConcurrentRequests = 32
	// maxHistoryRecords bounds the records in one answer; an answer without a limit has defaultHistoryRecords.
	maxHistoryRecords     = 200
	defaultHistoryRecords = 20
)

// TableService reads and changes the table. *config.Service implements it.
type TableService interface {
	CurrentTable() (*table.Table, error)
	Refresh(ctx context.Context) (*table.Table, error)
	TableAt(ctx context.Context, revision table.Revision) (*table.Table, error)
	History(ctx context.Context, from table.Revision, limit int) ([]table.Record, bool, error)
	Commit(ctx context.Context, c config.Change) (config.CommitResult, error)
	Rollback(ctx context.Context, to table.Revision, c config.Change) (config.CommitResult, error)
	Outcome(ctx context.Context, m table.Marker) (config.OutcomeState, error)
	Status() config.Status
	CheckRollout(ctx context.Context, revision table.Revision) config.RolloutStatus
}

// Fleet provides the capacity of the fleet, which warnings and explanations depend on.
type Fleet interface {
	Capacity() table.Capacity
}

// Handler serves the API and the page.
type Handler struct {
	tables TableService
	fleet  Fleet
	tokens Tokens
	// slots is a semaphore with one element per request in progress.
	slots chan struct{}
}

// New returns a handler that accepts the given tokens.
func New(tables TableService, fleet Fleet, tokens Tokens) *Handler {
	return &Handler{tables: tables, fleet: fleet, tokens: tokens, slots: make(chan struct{}, maxConcurrentRequests)}
}

// Register adds the routes to e.
func (h *Handler) Register(e *echo.Echo) {
	read := e.Group("/v1/table", h.withLimits, h.requireRole(RoleReadOnly))
	read.GET("", h.getTable)
	read.GET("/schema", h.getSchema)
	read.GET("/explain", h.getExplanation)
	read.GET("/diff", h.getDiff)
	read.GET("/history", h.getHistory)
	read.GET("/status", h.getStatus)
	read.GET("/everywhere", h.getRolloutStatus)
	read.GET("/changes/:marker", h.getOutcome)
	read.POST("/validate", h.postValidate)
	read.POST("/diff", h.postDiff)
	edit := e.Group("/v1/table", h.withLimits, h.requireRole(RoleEdit))
	edit.PUT("", h.putTable)
	edit.POST("/rollback", h.postRollback)
	registerPage(e)
}

// withLimits is middleware that bounds concurrent requests and bodies and writes errors as problems.
func (h *Handler) withLimits(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case h.slots <- struct{}{}:
			defer func() { <-h.slots }()
		default:
			return writeProblem(c, verdict.New(verdict.NotRun, verdict.CodeLimited, "too many operator requests"))
		}
		header := c.Response().Header()
		header.Set("Cache-Control", "no-store")
		header.Set("X-Content-Type-Options", "nosniff")
		c.Request().Body = receivedBody{http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes)}
		if err := next(c); err != nil {
			return writeProblem(c, err)
		}
		return nil
	}
}
