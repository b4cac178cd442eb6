// Package jobhttp serves the API of jobs under /v1/jobs over HTTP with JSON: submission, listing, watching and
// cancellation.
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
	"github.com/bulrushrelay/bulrushrelay/internal/bodyread"
)

const (
	// VerdictHeader is the header with the verdict, which tells whether the call took effect.
	VerdictHeader = httpverdict.Header
	// TokenHeader is the header with the optional client token, with which a submission can be repeated safely.
	TokenHeader = "Idempotency-Key"

	maxBodyBytes    = 512 << 10
	defaultPageSize = 100
	// heartbeatInterval is the interval of comments on an event stream. They keep idle streams open through load
	// balancers and detect clients that have disconnected.
	heartbeatInterval = 15 * time.Second
	// eventWriteTimeout bounds the write of an event, so that the stream of a client that does not read ends.
	eventWriteTimeout = 10 * time.Second
)

// Jobs performs calls about jobs on the relay host that owns their cell. Its errors carry a verdict.
type Jobs interface {
	// Submit chooses the cell. Submissions with the same client token go to the same cell.
	Submit(ctx context.Context, spec lifecycle.JobSpec) (ident.JobID, error)
	Get(ctx context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error)
	List(ctx context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error)
	// Watch delivers the job at once and after each change. The channel closes after the final state or when ctx ends.
	Watch(ctx context.Context, id ident.JobID) (<-chan lifecycle.JobView, error)
	Cancel(ctx context.Context, id ident.JobID) error
	Cells() []ident.CellID
}

// Handler serves the routes of the job API.
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

// writeSuccess writes an answer with the verdict Ran.
func writeSuccess(c echo.Context, status int, body any) error {
	c.Response().Header().Set(VerdictHeader, verdict.Ran.String())
	return c.JSON(status, body)
}

func (h *Handler) submit(c echo.Context) error {
	var s Submission
	if err := decodeBody(c, &s); err != nil {
		return httpverdict.Write(c, err)
	}
	spec, err := s.toSpec(c.Request().Header.Get(TokenHeader))
	if err != nil {
		return httpverdict.Write(c, err)
	}
	id, err := h.jobs.Submit(c.Request().Context(), spec)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+id.String())
	return writeSuccess(c, http.StatusCreated, SubmitResult{Job: id.String()})
}

// decodeBody decodes the body, which must be a single JSON value of bounded size. Unknown fields are errors, so that a
// misspelt field is not ignored.
func decodeBody(c echo.Context, into any) error {
	body, err := bodyread.Receive(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return invalid("body: want at most %d bytes", maxBodyBytes)
	case err != nil:
		return httpverdict.BodyError(err, "body")
	}
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalid("body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid("body: want exactly one JSON value")
	}
	return nil
}

func jobIDParam(c echo.Context) (ident.JobID, error) {
	id, err := ident.ParseJobID(c.Param("id"))
	if err != nil {
		return id, invalid("%v", err)
	}
	return id, nil
}

// intParam returns the query parameter name, which must be between 0 and limit, or fallback if it is absent.
func intParam(c echo.Context, name string, fallback, limit int) (int, error) {
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
	id, err := jobIDParam(c)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	from, err := intParam(c, "from", 0, lifecycle.MaxTasksPerJob)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	limit, err := intParam(c, "limit", defaultPageSize, lifecycle.MaxPageSize)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	v, err := h.jobs.Get(c.Request().Context(), id, from, limit)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	return writeSuccess(c, http.StatusOK, jobFromView(v))
}

func (h *Handler) cancel(c echo.Context) error {
	id, err := jobIDParam(c)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	if err := h.jobs.Cancel(c.Request().Context(), id); err != nil {
		return httpverdict.Write(c, err)
	}
	c.Response().Header().Set(VerdictHeader, verdict.Ran.String())
	return c.NoContent(http.StatusNoContent)
}

// list returns one page of jobs, in the order of their cells. Cells that cannot be listed are named in the page
// instead of failing the call.
func (h *Handler) list(c echo.Context) error {
	limit, err := intParam(c, "limit", defaultPageSize, lifecycle.MaxPageSize)
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
		from := ident.JobID{}
		if cell == after.Cell {
			from = after
		}
		views, err := h.jobs.List(c.Request().Context(), cell, from, limit-len(page.Jobs))
		if err != nil {
			page.UnavailableCells = append(page.UnavailableCells, uint32(cell))
			continue
		}
		for _, v := range views {
			page.Jobs = append(page.Jobs, jobFromView(v))
		}
	}
	if n := len(page.Jobs); n > 0 && n == limit {
		page.Next = page.Jobs[n-1].Job
	}
	return writeSuccess(c, http.StatusOK, page)
}

// watch streams one server-sent event for each change of a job until its state is final.
func (h *Handler) watch(c echo.Context) error {
	id, err := jobIDParam(c)
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
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case v, open := <-updates:
			if !open {
				return nil
			}
			data, err := json.Marshal(jobFromView(v))
			if err != nil {
				return err
			}
			if err := writeEvent(c, fmt.Sprintf("id: %d\nevent: job\ndata: %s\n\n", v.Version, data)); err != nil {
				return nil //nolint:nilerr // The client is gone; there is nobody to answer.
			}
		case <-ticker.C:
			if err := writeEvent(c, ":\n\n"); err != nil {
				return nil //nolint:nilerr // The client is gone; there is nobody to answer.
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func writeEvent(c echo.Context, text string) error {
	control := http.NewResponseController(c.Response())
	if err := control.SetWriteDeadline(time.Now().Add(eventWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := io.WriteString(c.Response(), text); err != nil {
		return err
	}
	return control.Flush()
}
