package operatorhttp

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

func (h *Handler) putTable(c echo.Context) error {
	change, err := readChange(c)
	if err != nil {
		return err
	}
	if change.Rows, err = readRows(c); err != nil {
		return err
	}
	done, err := h.tables.Commit(c.Request().Context(), change)
	if err != nil {
		return err
	}
	return writeCommitted(c, done, h.warnings(change.Rows))
}

func (h *Handler) postRollback(c echo.Context) error {
	change, err := readChange(c)
	if err != nil {
		return err
	}
	if c.QueryParam("to") == "" {
		return invalid("to: the revision to go back to is required")
	}
	to, err := revisionParam(c, "to")
	if err != nil {
		return err
	}
	done, err := h.tables.Rollback(c.Request().Context(), to, change)
	if err != nil {
		return err
	}
	return writeCommitted(c, done, nil)
}

func writeCommitted(c echo.Context, done config.CommitResult, warnings []Warning) error {
	header := c.Response().Header()
	revision := strconv.FormatUint(uint64(done.Revision), 10)
	header.Set(HeaderVerdict, verdict.Ran.String())
	header.Set(HeaderRevision, revision)
	header.Set("ETag", `"`+revision+`"`)
	return c.JSON(http.StatusOK, CommitResult{
		Revision: done.Revision, Marker: done.Marker.String(), Unchanged: done.Unchanged, Warnings: warnings,
	})
}

var _ TableService = (*config.Service)(nil)
