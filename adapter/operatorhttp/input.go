package operatorhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/adapter/tablecsv"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

const (
	typeCSV  = "text/csv"
	typeJSON = "application/json"
)

// readRows decodes the table in the body, as CSV or JSON ({"rows": [...]}). Its error lists every fault of the table.
func readRows(c echo.Context) ([]table.Row, error) {
	return decodeRows(c.Request().Header.Get(echo.HeaderContentType), c.Request().Body)
}

func decodeRows(contentType string, body io.Reader) ([]table.Row, error) {
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return nil, invalid("Content-Type: %s", err)
	}
	switch mediaType {
	case typeCSV:
		return readCSV(body)
	case typeJSON:
		return readJSON(body)
	default:
		return nil, invalid("Content-Type %.80q is neither %s nor %s", mediaType, typeCSV, typeJSON)
	}
}

// Validate returns the faults of a table, and the warnings that do not depend on the capacity of the fleet, without calling a
// relay host.
func Validate(body Body) (Validation, error) {
	rows, err := decodeRows(body.Type, bytes.NewReader(body.Data))
	v, err := newValidation(rows, err)
	if err == nil && len(v.Faults) == 0 {
		v.Warnings = fromWarnings(table.FindWarnings(rows, table.Capacity{}))
	}
	return v, err
}

func fromWarnings(found []table.Warning) []Warning {
	warnings := []Warning{}
	for _, w := range found {
		warnings = append(warnings, Warning{Name: string(w.Name), Column: w.Column, Message: w.Message})
	}
	return warnings
}

// newValidation returns the faults in err as a Validation, and any other error unchanged.
func newValidation(rows []table.Row, err error) (Validation, error) {
	v := Validation{Rows: len(rows), Faults: []Fault{}, Warnings: []Warning{}}
	if faults := faultsFromError(err); len(faults) > 0 {
		v.Faults = faults
		return v, nil
	}
	return v, err
}

func readCSV(body io.Reader) ([]table.Row, error) {
	rows, err := tablecsv.Decode(body)
	var faults tablecsv.Faults
	if errors.As(err, &faults) {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "the table has faults")
	}
	return rows, wrapBodyError(err)
}

func readJSON(body io.Reader) ([]table.Row, error) {
	var in struct {
		Rows []map[table.ColumnName]any `json:"rows"`
	}
	decoder := json.NewDecoder(body)
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return nil, wrapBodyError(err)
	}
	_, err := decoder.Token()
	var notReceived *receiveError
	switch {
	case errors.As(err, &notReceived):
		return nil, wrapBodyError(err)
	case !errors.Is(err, io.EOF):
		return nil, invalid("the body has data after the JSON object")
	}
	if len(in.Rows) > table.MaxRows {
		return nil, invalid("%d rows; at most %d are allowed", len(in.Rows), table.MaxRows)
	}
	return rowsFromCells(in.Rows)
}

func rowsFromCells(cells []map[table.ColumnName]any) ([]table.Row, error) {
	rows := make([]table.Row, len(cells))
	var faults table.Faults
	unreadable := make(map[int]map[table.ColumnName]bool)
	for i, cell := range cells {
		row, rowFaults := rowFromCells(cell)
		rows[i] = row
		unreadable[i+1] = make(map[table.ColumnName]bool)
		for _, f := range rowFaults {
			f.Row = i + 1
			unreadable[f.Row][f.Column] = true
			faults = append(faults, f)
		}
	}
	for _, f := range table.Validate(rows) {
		// Faults of an unreadable cell have been reported. Without a kind, checks across the cells of a row are
		// meaningless.
		if !unreadable[f.Row][f.Column] && !unreadable[f.Row][table.ColKind] {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return nil, verdict.Wrap(faults, verdict.NotRun, verdict.CodeInvalid, "the table has faults")
	}
	return rows, nil
}

// receiveError is an error of receiving a body from its client, unlike one of its content.
type receiveError struct{ cause error }

func (e *receiveError) Error() string { return e.cause.Error() }

func (e *receiveError) Unwrap() error { return e.cause }

// receivedBody marks the errors of reading a body as receiveErrors.
type receivedBody struct{ io.ReadCloser }

func (b receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &receiveError{err}
	}
	return n, err
}

// wrapBodyError adds the verdict NotRun to an error of reading the body. An *http.MaxBytesError stays in the chain.
func wrapBodyError(err error) error {
	if err == nil {
		return nil
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "the body cannot be read")
}

// readChange reads a change apart from its rows: the base revision from If-Match, and author, reason and nonce from
// query parameters.
func readChange(c echo.Context) (config.Change, error) {
	match := c.Request().Header.Get("If-Match")
	base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return config.Change{}, invalid("If-Match %.40q: want the revision that was edited, such as \"12\"", match)
	}
	return config.Change{
		Base: table.Revision(base), Author: c.QueryParam("author"), Reason: c.QueryParam("reason"),
		Nonce: c.QueryParam("nonce"),
	}, nil
}

// revisionParam returns a revision from the query, or 0 if it is absent.
func revisionParam(c echo.Context, name string) (table.Revision, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalid("%s %.40q is not a revision", name, text)
	}
	return table.Revision(n), nil
}

// limitParam returns the maximum number of history records from the query.
func limitParam(c echo.Context) (int, error) {
	text := c.QueryParam("limit")
	if text == "" {
		return defaultHistoryRecords, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxHistoryRecords {
		return 0, invalid("limit %.40q is not a number from 1 to %d", text, maxHistoryRecords)
	}
	return n, nil
}
