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
	result, err := h.tables.Commit(c.Request().Context(), change)
	if err != nil {
		return err
	}
	return writeCommitResult(c, result, h.warnings(change.Rows))
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
	result, err := h.tables.Rollback(c.Request().Context(), to, change)
	if err != nil {
		return err
	}
	return writeCommitResult(c, result, nil)
}

func writeCommitResult(c echo.Context, result config.CommitResult, warnings []Warning) error {
	header := c.Response().Header()
	revision := strconv.FormatUint(uint64(result.Revision), 10)
	header.Set(HeaderVerdict, verdict.Ran.String())
	header.Set(HeaderRevision, revision)
	header.Set("ETag", `"`+revision+`"`)
	return c.JSON(http.StatusOK, CommitResult{
		Revision: result.Revision, Marker: result.Marker.String(), Unchanged: result.Unchanged, Warnings: warnings,
	})
}

var _ TableService = (*config.Service)(nil)
