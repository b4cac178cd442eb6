package operatorhttp

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/adapter/tablecsv"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// tableParam returns the table at the revision in the query parameter name. Without it, the table is the one in force
// on this host, or with ?fresh=true the newest one in the store.
func (h *Handler) tableParam(c echo.Context, name string) (*table.Table, error) {
	if c.QueryParam(name) == "" {
		if c.QueryParam("fresh") == "true" {
			return h.tables.Refresh(c.Request().Context())
		}
		return h.tables.CurrentTable()
	}
	revision, err := revisionParam(c, name)
	if err != nil {
		return nil, err
	}
	return h.tables.TableAt(c.Request().Context(), revision)
}

func (h *Handler) getTable(c echo.Context) error {
	t, err := h.tableParam(c, "revision")
	if err != nil {
		return err
	}
	header := c.Response().Header()
	revision := strconv.FormatUint(uint64(t.Revision()), 10)
	header.Set(HeaderRevision, revision)
	header.Set("ETag", `"`+revision+`"`)
	if !strings.Contains(c.Request().Header.Get(echo.HeaderAccept), typeCSV) {
		return c.JSON(http.StatusOK, Table{Revision: t.Revision(), Rows: fromRows(t.Rows())})
	}
	header.Set(echo.HeaderContentType, typeCSV+"; charset=utf-8")
	header.Set(echo.HeaderContentDisposition, `attachment; filename="table-`+revision+`.csv"`)
	c.Response().WriteHeader(http.StatusOK)
	return tablecsv.Encode(c.Response(), t.Rows())
}

func (h *Handler) getSchema(c echo.Context) error {
	var columns []Column
	for _, col := range table.Columns() {
		columns = append(columns, fromColumn(col))
	}
	return c.JSON(http.StatusOK, columns)
}

func (h *Handler) getExplanation(c echo.Context) error {
	t, err := h.tableParam(c, "revision")
	if err != nil {
		return err
	}
	e, err := table.Explain(t, ident.ClassName(c.QueryParam("row")), table.ColumnName(c.QueryParam("column")),
		h.fleet.Capacity().Cells)
	if err != nil {
		return invalid("%s", err)
	}
	return c.JSON(http.StatusOK, Explanation{
		Revision: t.Revision(), Row: string(e.Row), Column: fromColumn(e.Column), Value: e.Value, CurrentEffect: e.CurrentEffect,
	})
}

func (h *Handler) getDiff(c echo.Context) error {
	from, err := h.tableParam(c, "from")
	if err != nil {
		return err
	}
	to, err := h.tableParam(c, "to")
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Diff{From: from.Revision(), To: to.Revision(), Changes: fromDelta(table.Diff(from, to))})
}

// postDiff returns the changes from a revision to the table in the body.
func (h *Handler) postDiff(c echo.Context) error {
	from, err := h.tableParam(c, "from")
	if err != nil {
		return err
	}
	rows, err := readRows(c)
	if err != nil {
		return err
	}
	delta := table.Diff(from, table.New(0, rows))
	return c.JSON(http.StatusOK, Diff{From: from.Revision(), Changes: fromDelta(delta)})
}

// postValidate returns every fault and warning of the table in the body. The status is 200 also for a table with
// faults.
func (h *Handler) postValidate(c echo.Context) error {
	rows, err := readRows(c)
	v, err := newValidation(rows, err)
	if err != nil {
		return err
	}
	if len(v.Faults) == 0 {
		v.Warnings = h.warnings(rows)
	}
	return c.JSON(http.StatusOK, v)
}

func (h *Handler) warnings(rows []table.Row) []Warning {
	return fromWarnings(table.FindWarnings(rows, h.fleet.Capacity()))
}

func (h *Handler) getHistory(c echo.Context) error {
	from, err := revisionParam(c, "from")
	if err != nil {
		return err
	}
	limit, err := limitParam(c)
	if err != nil {
		return err
	}
	records, complete, err := h.tables.History(c.Request().Context(), from, limit)
	if err != nil {
		return err
	}
	answer := History{Records: []Record{}, Complete: complete}
	for _, r := range records {
		answer.Records = append(answer.Records, Record{
			Revision: r.Revision, Author: r.Author, Time: r.Time, Reason: r.Reason, Marker: r.Marker.String(),
			Changes: fromDelta(r.Delta),
		})
	}
	return c.JSON(http.StatusOK, answer)
}

var outcomeHints = map[config.OutcomeState]string{
	config.OutcomeCommitted:    "The change took effect.",
	config.OutcomeNotCommitted: "The change did not take effect and never will: another change holds its revision.",
	config.OutcomeUnknown: "The change may still take effect, or is older than the history. Repeating it with the same " +
		"base and nonce is safe: it takes effect at most once.",
}

func (h *Handler) getOutcome(c echo.Context) error {
	marker, err := table.ParseMarker(c.Param("marker"))
	if err != nil {
		return invalid("%s", err)
	}
	state, err := h.tables.Outcome(c.Request().Context(), marker)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Outcome{Marker: marker.String(), State: state, Hint: outcomeHints[state]})
}

func (h *Handler) getStatus(c echo.Context) error {
	s := h.tables.Status()
	answer := Status{
		Self: fromHostStatus(s.Self), Source: s.Source, Watcher: s.Watcher, StoreFault: s.StoreFault,
		Divergence: s.Divergence, PeerContact: optionalTime(s.PeerContact), Hosts: []HostStatus{},
	}
	for _, host := range s.Hosts {
		answer.Hosts = append(answer.Hosts, fromHostStatus(host))
	}
	return c.JSON(http.StatusOK, answer)
}

func fromHostStatus(s config.HostStatus) HostStatus {
	return HostStatus{
		Host: string(s.Instance.Host), Incarnation: uint64(s.Instance.Incarnation), Loaded: s.Loaded,
		Revision: s.Revision, Digest: hex.EncodeToString(s.Digest[:]), InForceSince: optionalTime(s.Since),
		StoreContact: optionalTime(s.StoreContact), Seen: s.Seen,
	}
}

func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func (h *Handler) getRolloutStatus(c echo.Context) error {
	revision, err := revisionParam(c, "revision")
	if err != nil {
		return err
	}
	if revision == 0 {
		t, err := h.tables.CurrentTable()
		if err != nil {
			return err
		}
		revision = t.Revision()
	}
	rollout := h.tables.CheckRollout(c.Request().Context(), revision)
	answer := RolloutStatus{
		Revision: rollout.Revision, InForce: rollout.InForce, Members: rollout.Members, Confirmed: rollout.Confirmed, Missing: []string{},
		Reason: rollout.Reason,
	}
	for _, host := range rollout.Missing {
		answer.Missing = append(answer.Missing, string(host))
	}
	return c.JSON(http.StatusOK, answer)
}
