// Package operatorhttp serves the operators' table over HTTP: an API under /v1/table, a web page under /table/, and a
// client for the operators' tool.
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
	// maxConcurrent bounds the operator requests at the same time, so that they cannot crowd out other work.
	maxConcurrent = 32
	// maxHistory bounds the records in one answer.
	maxHistory     = 200
	defaultHistory = 20
)

// TableService is the table service. *config.Service implements it.
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

// Fleet knows the capacity of the fleet, for warnings and explanations.
type Fleet interface {
	Capacity() table.Capacity
}

// Handler serves the API and the page.
type Handler struct {
	tables TableService
	fleet  Fleet
	tokens Tokens
	// places holds one element per request in progress.
	places chan struct{}
}

// New returns a handler.
func New(tables TableService, fleet Fleet, tokens Tokens) *Handler {
	return &Handler{tables: tables, fleet: fleet, tokens: tokens, places: make(chan struct{}, maxConcurrent)}
}

// Register adds the routes to e.
func (h *Handler) Register(e *echo.Echo) {
	read := e.Group("/v1/table", h.limit, h.require(RoleReadOnly))
	read.GET("", h.getTable)
	read.GET("/schema", h.getSchema)
	read.GET("/explain", h.getExplanation)
	read.GET("/diff", h.getDiff)
	read.GET("/history", h.getHistory)
	read.GET("/status", h.getStatus)
	read.GET("/everywhere", h.getEverywhere)
	read.GET("/changes/:marker", h.getOutcome)
	read.POST("/validate", h.postValidate)
	read.POST("/diff", h.postDiff)
	edit := e.Group("/v1/table", h.limit, h.require(RoleEdit))
	edit.PUT("", h.putTable)
	edit.POST("/rollback", h.postRollback)
	registerPage(e)
}

// limit refuses requests above the bounds and turns errors into problems.
func (h *Handler) limit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case h.places <- struct{}{}:
			defer func() { <-h.places }()
		default:
			return writeProblem(c, verdict.New(verdict.NotRun, verdict.CodeLimited, "too many operator requests"))
		}
		header := c.Response().Header()
		header.Set("Cache-Control", "no-store")
		header.Set("X-Content-Type-Options", "nosniff")
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes)
		if err := next(c); err != nil {
			return writeProblem(c, err)
		}
		return nil
	}
}
