// Package jobhttp serves /v1/jobs: submission, listing, watching and cancellation of jobs over HTTP with JSON.
package jobhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/httpverdict"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// VerdictHeader says whether the call took effect.
	VerdictHeader = httpverdict.Header
	// TokenHeader carries the optional client token that makes a repeated submission safe.
	TokenHeader = "Idempotency-Key"

	maxBodyBytes = 512 << 10
	defaultPage  = 100
	// heartbeat keeps idle event streams open through balancers, and finds clients that are gone.
	heartbeat = 15 * time.Second
	// writeLimit ends an event stream whose client does not read.
	writeLimit = 10 * time.Second
)

// Jobs performs calls about jobs in whichever relay host owns their cell. Errors carry a verdict.
type Jobs interface {
	// Submit picks the cell. Submissions with the same client token go to the same cell.
	Submit(ctx context.Context, spec lifecycle.JobSpec) (ident.JobID, error)
	Get(ctx context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error)
	List(ctx context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error)
	// Watch delivers a job now and after each change; the channel closes after the final state or with ctx.
	Watch(ctx context.Context, id ident.JobID) (<-chan lifecycle.JobView, error)
	Cancel(ctx context.Context, id ident.JobID) error
	Cells() []ident.CellID
}

// Handler serves the routes.
type Handler struct {
	jobs Jobs
}

// New returns a handler that passes calls to j.
func New(j Jobs) *Handler {
	return &Handler{jobs: j}
}

// Register adds the routes, with the given middleware around each.
func (h *Handler) Register(e *echo.Echo, m ...echo.MiddlewareFunc) {
	e.POST("/v1/jobs", h.submit, m...)
	e.GET("/v1/jobs", h.list, m...)
	e.GET("/v1/jobs/:id", h.get, m...)
	e.GET("/v1/jobs/:id/watch", h.watch, m...)
	e.DELETE("/v1/jobs/:id", h.cancel, m...)
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, format, args...)
}

func reply(c echo.Context, status int, body any) error {
	c.Response().Header().Set(VerdictHeader, verdict.Ran.String())
	return c.JSON(status, body)
}

func (h *Handler) submit(c echo.Context) error {
	var s Submission
	if err := decode(c, &s); err != nil {
		return httpverdict.Write(c, err)
	}
	spec, err := s.spec(c.Request().Header.Get(TokenHeader))
	if err != nil {
		return httpverdict.Write(c, err)
	}
	id, err := h.jobs.Submit(c.Request().Context(), spec)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+id.String())
	return reply(c, http.StatusCreated, SubmitResult{Job: id.String()})
}

// decode reads one JSON value of bounded size without unknown fields, so that a misspelt field is not ignored.
func decode(c echo.Context, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return invalid("body: want at most %d bytes", maxBodyBytes)
		}
		return invalid("body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid("body: want exactly one JSON value")
	}
	return nil
}

func jobID(c echo.Context) (ident.JobID, error) {
	id, err := ident.ParseJobID(c.Param("id"))
	if err != nil {
		return id, invalid("%v", err)
	}
	return id, nil
}

func number(c echo.Context, name string, fallback, limit int) (int, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > limit {
		return 0, invalid("%s %q: want 0 to %d", name, text, limit)
	}
	return n, nil
}

func (h *Handler) get(c echo.Context) error {
	id, err := jobID(c)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	from, err := number(c, "from", 0, lifecycle.MaxTasksPerJob)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	limit, err := number(c, "limit", defaultPage, lifecycle.MaxPageSize)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	v, err := h.jobs.Get(c.Request().Context(), id, from, limit)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	return reply(c, http.StatusOK, jobOf(v))
}

func (h *Handler) cancel(c echo.Context) error {
	id, err := jobID(c)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	if err := h.jobs.Cancel(c.Request().Context(), id); err != nil {
		return httpverdict.Write(c, err)
	}
	c.Response().Header().Set(VerdictHeader, verdict.Ran.String())
	return c.NoContent(http.StatusNoContent)
}

// list goes through the cells in the order of their numbers. Cells without an owner are named instead of failing the
// whole list.
func (h *Handler) list(c echo.Context) error {
	limit, err := number(c, "limit", defaultPage, lifecycle.MaxPageSize)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	var after ident.JobID
	if text := c.QueryParam("after"); text != "" {
		if after, err = ident.ParseJobID(text); err != nil {
			return httpverdict.Write(c, invalid("after: %v", err))
		}
	}
	page := Page{Jobs: []Job{}}
	cells := h.jobs.Cells()
	slices.Sort(cells)
	for _, cell := range cells {
		if cell < after.Cell || len(page.Jobs) >= limit {
			continue
		}
		start := ident.JobID{}
		if cell == after.Cell {
			start = after
		}
		views, err := h.jobs.List(c.Request().Context(), cell, start, limit-len(page.Jobs))
		if err != nil {
			page.UnavailableCells = append(page.UnavailableCells, uint32(cell))
			continue
		}
		for _, v := range views {
			page.Jobs = append(page.Jobs, jobOf(v))
		}
	}
	if n := len(page.Jobs); n > 0 && n == limit {
		page.Next = page.Jobs[n-1].Job
	}
	return reply(c, http.StatusOK, page)
}

// watch sends one server-sent event for each change, until the job is final.
func (h *Handler) watch(c echo.Context) error {
	id, err := jobID(c)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	updates, err := h.jobs.Watch(ctx, id)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	header.Set(VerdictHeader, verdict.Ran.String())
	c.Response().WriteHeader(http.StatusOK)
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case v, open := <-updates:
			if !open {
				return nil
			}
			data, err := json.Marshal(jobOf(v))
			if err != nil {
				return err
			}
			if err := send(c, fmt.Sprintf("id: %d\nevent: job\ndata: %s\n\n", v.Version, data)); err != nil {
				return nil //nolint:nilerr // The client is gone; there is nobody to answer.
			}
		case <-beat.C:
			if err := send(c, ":\n\n"); err != nil {
				return nil //nolint:nilerr // The client is gone; there is nobody to answer.
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func send(c echo.Context, text string) error {
	control := http.NewResponseController(c.Response())
	if err := control.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := io.WriteString(c.Response(), text); err != nil {
		return err
	}
	return control.Flush()
}
