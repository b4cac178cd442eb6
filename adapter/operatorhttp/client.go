package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// maxAnswerBytes bounds an answer. A history of large changes is the longest.
const maxAnswerBytes = 64 << 20

// Client calls the operator API.
type Client struct {
	// BaseURL is the address of a relay host, such as http://10.0.0.1:8080.
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// ErrNoAnswer is in the chain of an error if the relay gave no complete answer.
var ErrNoAnswer = errors.New("no answer from the relay")

// ProblemError is an error that the relay answered.
type ProblemError struct {
	Status int
	Problem
}

// Error returns the message with the faults, one on a line.
func (e *ProblemError) Error() string {
	lines := []string{e.Message}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives the error its verdict.
func (e *ProblemError) Unwrap() error {
	v, err := verdict.Parse(e.Verdict)
	if err != nil {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.Code(e.Code), "%s", e.Message)
}

// String returns the fault with its place.
func (f Fault) String() string {
	var place []string
	if f.Line > 0 {
		place = append(place, fmt.Sprintf("line %d", f.Line))
	}
	if f.Row > 0 {
		place = append(place, fmt.Sprintf("row %d (%s)", f.Row, f.Name))
	}
	if f.Column != "" {
		place = append(place, "column "+string(f.Column))
	}
	if len(place) == 0 {
		return f.Message
	}
	return strings.Join(place, ", ") + ": " + f.Message
}

// Body is a table to send, as CSV or JSON.
type Body struct {
	Type string
	Data []byte
}

// CSV returns a body of CSV data.
func CSV(data []byte) Body {
	return Body{Type: typeCSV, Data: data}
}

// ChangeMetadata is what a change carries besides its rows.
type ChangeMetadata struct {
	Base                  table.Revision
	Author, Reason, Nonce string
}

func (n ChangeMetadata) values() url.Values {
	return url.Values{"author": {n.Author}, "reason": {n.Reason}, "nonce": {n.Nonce}}
}

func (n ChangeMetadata) header() http.Header {
	return http.Header{"If-Match": {`"` + strconv.FormatUint(uint64(n.Base), 10) + `"`}}
}

// Table reads the newest table of the store, or a revision if it is not 0.
func (c *Client) Table(ctx context.Context, revision table.Revision) (t Table, err error) {
	return t, c.call(ctx, http.MethodGet, "", tableQuery(revision), nil, Body{}, &t)
}

// TableCSV reads the same table as CSV, with its revision.
func (c *Client) TableCSV(ctx context.Context, revision table.Revision) ([]byte, table.Revision, error) {
	header := http.Header{"Accept": {typeCSV}}
	a, err := c.do(ctx, http.MethodGet, "", tableQuery(revision), header, Body{})
	if err != nil {
		return nil, 0, err
	}
	n, err := strconv.ParseUint(a.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("the answer has no revision: %w", err)
	}
	return a.data, table.Revision(n), nil
}

func tableQuery(revision table.Revision) url.Values {
	if revision == 0 {
		return url.Values{"fresh": {"true"}}
	}
	return url.Values{"revision": {format(revision)}}
}

func format(r table.Revision) string {
	return strconv.FormatUint(uint64(r), 10)
}

// Put commits a table.
func (c *Client) Put(ctx context.Context, n ChangeMetadata, body Body) (done CommitResult, err error) {
	return done, c.call(ctx, http.MethodPut, "", n.values(), n.header(), body, &done)
}

// Rollback makes a new revision with the rows of an earlier one.
func (c *Client) Rollback(ctx context.Context, n ChangeMetadata, to table.Revision) (done CommitResult, err error) {
	query := n.values()
	query.Set("to", format(to))
	return done, c.call(ctx, http.MethodPost, "/rollback", query, n.header(), Body{}, &done)
}

// Outcome asks what became of a change.
func (c *Client) Outcome(ctx context.Context, marker string) (o Outcome, err error) {
	return o, c.call(ctx, http.MethodGet, "/changes/"+url.PathEscape(marker), nil, nil, Body{}, &o)
}

// Validate returns every fault and warning of a table.
func (c *Client) Validate(ctx context.Context, body Body) (v Validation, err error) {
	return v, c.call(ctx, http.MethodPost, "/validate", nil, nil, body, &v)
}

// Diff returns the changes from a revision to the table in body; the newest revision if from is 0.
func (c *Client) Diff(ctx context.Context, from table.Revision, body Body) (d Diff, err error) {
	query := url.Values{"fresh": {"true"}}
	if from != 0 {
		query.Set("from", format(from))
	}
	return d, c.call(ctx, http.MethodPost, "/diff", query, nil, body, &d)
}

// DiffRevisions returns the changes between two revisions; to is the newest if it is 0.
func (c *Client) DiffRevisions(ctx context.Context, from, to table.Revision) (d Diff, err error) {
	query := url.Values{"from": {format(from)}, "fresh": {"true"}}
	if to != 0 {
		query.Set("to", format(to))
	}
	return d, c.call(ctx, http.MethodGet, "/diff", query, nil, Body{}, &d)
}

// History returns at most limit records from a revision on, newest first; from the newest if from is 0.
func (c *Client) History(ctx context.Context, from table.Revision, limit int) (h History, err error) {
	query := url.Values{"from": {format(from)}, "limit": {strconv.Itoa(limit)}}
	return h, c.call(ctx, http.MethodGet, "/history", query, nil, Body{}, &h)
}

// Explain describes one cell.
func (c *Client) Explain(ctx context.Context, row, column string) (e Explanation, err error) {
	query := url.Values{"row": {row}, "column": {column}}
	return e, c.call(ctx, http.MethodGet, "/explain", query, nil, Body{}, &e)
}

// Status returns what the asked host knows of all hosts.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/status", nil, nil, Body{}, &s)
}

// CheckRollout says whether a revision is in force on every leased member; the one in force at the asked host if
// revision is 0.
func (c *Client) CheckRollout(ctx context.Context, revision table.Revision) (e RolloutStatus, err error) {
	query := url.Values{}
	if revision != 0 {
		query.Set("revision", format(revision))
	}
	return e, c.call(ctx, http.MethodGet, "/everywhere", query, nil, Body{}, &e)
}

func (c *Client) call(
	ctx context.Context, method, path string, query url.Values, header http.Header, body Body, out any,
) error {
	a, err := c.do(ctx, method, path, query, header, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.data, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}

// answer is a complete answer with status 200.
type answer struct {
	header http.Header
	data   []byte
}

// do sends one request. An error without a Problem in its chain says nothing about the effect of the request.
func (c *Client) do(
	ctx context.Context, method, path string, query url.Values, header http.Header, body Body,
) (answer, error) {
	target := strings.TrimSuffix(c.BaseURL, "/") + "/v1/table" + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body.Data))
	if err != nil {
		return answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if body.Type != "" {
		request.Header.Set("Content-Type", body.Type)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, fmt.Errorf("%w: status %s: %w", ErrNoAnswer, response.Status, err)
	}
	if len(data) > maxAnswerBytes {
		return answer{}, fmt.Errorf("%w: the answer is larger than %d bytes", ErrNoAnswer, maxAnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return answer{}, problemOf(response, data)
	}
	return answer{header: response.Header, data: data}, nil
}

func problemOf(response *http.Response, data []byte) error {
	e := &ProblemError{Status: response.StatusCode}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != typeJSON || json.Unmarshal(data, &e.Problem) != nil || e.Message == "" {
		return fmt.Errorf("%w: status %s without an explanation; is this the address of a relay host?",
			ErrNoAnswer, response.Status)
	}
	return e
}
