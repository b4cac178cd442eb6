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

// maxAnswerBytes bounds the body of an answer. The largest answer is a history of large changes.
const maxAnswerBytes = 64 << 20

// Client calls the operator API.
type Client struct {
	// BaseURL is the URL of a relay host, such as http://10.0.0.1:8080.
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// ErrNoAnswer is wrapped by the error of a call without a complete answer. The effect of the call is then unknown.
var ErrNoAnswer = errors.New("no answer from the relay")

// ProblemError is an error answer of the relay.
type ProblemError struct {
	Status int
	Problem
}

// Error returns the message, followed by the faults, one per line.
func (e *ProblemError) Error() string {
	lines := []string{e.Message}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the verdict.Error of the answer. A verdict that cannot be parsed becomes MayHaveRun.
func (e *ProblemError) Unwrap() error {
	v, err := verdict.Parse(e.Verdict)
	if err != nil {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.Code(e.Code), "%s", e.Message)
}

// String returns the message of the fault after its position.
func (f Fault) String() string {
	var position []string
	if f.Line > 0 {
		position = append(position, fmt.Sprintf("line %d", f.Line))
	}
	if f.Row > 0 {
		position = append(position, fmt.Sprintf("row %d (%s)", f.Row, f.Name))
	}
	if f.Column != "" {
		position = append(position, "column "+string(f.Column))
	}
	if len(position) == 0 {
		return f.Message
	}
	return strings.Join(position, ", ") + ": " + f.Message
}

// Body is a table in a request, as CSV or JSON. Type is its media type.
type Body struct {
	Type string
	Data []byte
}

// CSV returns a body of CSV data.
func CSV(data []byte) Body {
	return Body{Type: typeCSV, Data: data}
}

// ChangeMetadata describes a change apart from its rows. Base is the revision that was edited. A repeated change with
// the same base and nonce takes effect at most once.
type ChangeMetadata struct {
	Base                  table.Revision
	Author, Reason, Nonce string
}

func (m ChangeMetadata) queryParams() url.Values {
	return url.Values{"author": {m.Author}, "reason": {m.Reason}, "nonce": {m.Nonce}}
}

func (m ChangeMetadata) header() http.Header {
	return http.Header{"If-Match": {`"` + strconv.FormatUint(uint64(m.Base), 10) + `"`}}
}

// Table returns the table at a revision, or the newest one in the store if revision is 0.
func (c *Client) Table(ctx context.Context, revision table.Revision) (t Table, err error) {
	return t, c.call(ctx, http.MethodGet, "", tableQuery(revision), nil, Body{}, &t)
}

// TableCSV returns the same table as CSV, with its revision.
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
	return url.Values{"revision": {formatRevision(revision)}}
}

func formatRevision(r table.Revision) string {
	return strconv.FormatUint(uint64(r), 10)
}

// Put commits the table in body as a new revision.
func (c *Client) Put(ctx context.Context, m ChangeMetadata, body Body) (result CommitResult, err error) {
	return result, c.call(ctx, http.MethodPut, "", m.queryParams(), m.header(), body, &result)
}

// Rollback commits a new revision with the rows of an earlier one.
func (c *Client) Rollback(ctx context.Context, m ChangeMetadata, to table.Revision) (result CommitResult, err error) {
	query := m.queryParams()
	query.Set("to", formatRevision(to))
	return result, c.call(ctx, http.MethodPost, "/rollback", query, m.header(), Body{}, &result)
}

// Outcome returns whether the change with the marker took effect.
func (c *Client) Outcome(ctx context.Context, marker string) (o Outcome, err error) {
	return o, c.call(ctx, http.MethodGet, "/changes/"+url.PathEscape(marker), nil, nil, Body{}, &o)
}

// Validate returns every fault and warning of a table.
func (c *Client) Validate(ctx context.Context, body Body) (v Validation, err error) {
	return v, c.call(ctx, http.MethodPost, "/validate", nil, nil, body, &v)
}

// Diff returns the changes from a revision, or from the newest one if from is 0, to the table in body.
func (c *Client) Diff(ctx context.Context, from table.Revision, body Body) (d Diff, err error) {
	query := url.Values{"fresh": {"true"}}
	if from != 0 {
		query.Set("from", formatRevision(from))
	}
	return d, c.call(ctx, http.MethodPost, "/diff", query, nil, body, &d)
}

// DiffRevisions returns the changes between two revisions. If to is 0, it stands for the newest one.
func (c *Client) DiffRevisions(ctx context.Context, from, to table.Revision) (d Diff, err error) {
	query := url.Values{"from": {formatRevision(from)}, "fresh": {"true"}}
	if to != 0 {
		query.Set("to", formatRevision(to))
	}
	return d, c.call(ctx, http.MethodGet, "/diff", query, nil, Body{}, &d)
}

// History returns at most limit records, newest first, starting at a revision, or at the newest one if from is 0.
func (c *Client) History(ctx context.Context, from table.Revision, limit int) (h History, err error) {
	query := url.Values{"from": {formatRevision(from)}, "limit": {strconv.Itoa(limit)}}
	return h, c.call(ctx, http.MethodGet, "/history", query, nil, Body{}, &h)
}

// Explain returns the description of one cell of the table.
func (c *Client) Explain(ctx context.Context, row, column string) (e Explanation, err error) {
	query := url.Values{"row": {row}, "column": {column}}
	return e, c.call(ctx, http.MethodGet, "/explain", query, nil, Body{}, &e)
}

// Status returns what the called host knows about the table on all hosts.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/status", nil, nil, Body{}, &s)
}

// CheckRollout returns whether a revision is in force on every member with a lease. If revision is 0, it checks the
// revision in force on the called host.
func (c *Client) CheckRollout(ctx context.Context, revision table.Revision) (r RolloutStatus, err error) {
	query := url.Values{}
	if revision != 0 {
		query.Set("revision", formatRevision(revision))
	}
	return r, c.call(ctx, http.MethodGet, "/everywhere", query, nil, Body{}, &r)
}

// call sends one request and decodes the JSON answer into out.
func (c *Client) call(
	ctx context.Context, method, path string, query url.Values, header http.Header, body Body, out any,
) error {
	a, err := c.do(ctx, method, path, query, header, body)
	if err != nil {
		return err
	}
	return decodeAnswer(a, out)
}

func decodeAnswer(a answer, out any) error {
	if err := json.Unmarshal(a.data, out); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}

// Evacuations returns the requests for evacuations and what the asked host knows of the evacuated workers.
func (c *Client) Evacuations(ctx context.Context) (v Evacuations, err error) {
	return v, c.callEvacuations(ctx, http.MethodGet, "", Body{}, &v)
}

// StartEvacuation requests the evacuation of a data centre, and returns the request in force.
func (c *Client) StartEvacuation(ctx context.Context, dc, reason string) (v Evacuation, err error) {
	data, err := json.Marshal(EvacuationRequest{Reason: reason})
	if err != nil {
		return v, err
	}
	return v, c.callEvacuations(ctx, http.MethodPut, "/"+url.PathEscape(dc), Body{Type: typeJSON, Data: data}, &v)
}

// StopEvacuation withdraws the request for a data centre.
func (c *Client) StopEvacuation(ctx context.Context, dc string) error {
	return c.callEvacuations(ctx, http.MethodDelete, "/"+url.PathEscape(dc), Body{}, &struct{}{})
}

func (c *Client) callEvacuations(ctx context.Context, method, path string, body Body, out any) error {
	a, err := c.send(ctx, method, evacuationsPath+path, nil, body)
	if err != nil {
		return err
	}
	return decodeAnswer(a, out)
}

// answer holds a complete answer with status 200.
type answer struct {
	header http.Header
	data   []byte
}

// do sends one request about the table.
func (c *Client) do(
	ctx context.Context, method, path string, query url.Values, header http.Header, body Body,
) (answer, error) {
	return c.send(ctx, method, "/v1/table"+path+"?"+query.Encode(), header, body)
}

// send sends one request. Only a ProblemError or a verdict.Error in the chain of its error tells whether the request
// took effect.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body Body) (answer, error) {
	target := strings.TrimSuffix(c.BaseURL, "/") + path
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
		return answer{}, problemFromResponse(response, data)
	}
	return answer{header: response.Header, data: data}, nil
}

func problemFromResponse(response *http.Response, data []byte) error {
	e := &ProblemError{Status: response.StatusCode}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != typeJSON || json.Unmarshal(data, &e.Problem) != nil || e.Message == "" {
		return fmt.Errorf("%w: status %s without a problem in the body; is this the address of a relay host?",
			ErrNoAnswer, response.Status)
	}
	return e
}
