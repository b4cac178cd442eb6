package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
)

const (
	// maxResponseBytes bounds a response, and the job file that the command submit reads.
	maxResponseBytes = 8 << 20
	// maxTasksShown bounds the tasks of a job that the commands show and why request.
	maxTasksShown = 1000
	// maxReasonsShown bounds the reasons that the command why prints.
	maxReasonsShown = 20
	// maxEventBytes bounds one line of the event stream that the command watch reads.
	maxEventBytes = 1 << 20
)

// jobCommand returns the command "job" with its subcommands.
func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, follow and cancel jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit the job in a JSON file; - is standard input", ArgsUsage: "FILE",
				Flags: []cli.Flag{&cli.StringFlag{
					Name: "client-token", Usage: "token under which the submission can be repeated safely", Sources: env("CLIENT_TOKEN"),
				}},
				Action: submitJob,
			},
			{
				Name: "list", Usage: "list jobs",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "after", Usage: "last job of the previous page", Sources: env("AFTER")},
					&cli.IntFlag{Name: "limit", Usage: "jobs on the page, 1 to 1000", Value: 100, Sources: env("LIMIT")},
				},
				Action: listJobs,
			},
			{Name: "show", Usage: "show a job and its tasks", ArgsUsage: "JOB", Action: showJob},
			{Name: "watch", Usage: "print each change of a job until it is final", ArgsUsage: "JOB", Action: watchJob},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB", Action: cancelJob},
			{Name: "why", Usage: "explain what the tasks of a job wait for, or why they failed", ArgsUsage: "JOB", Action: whyJob},
		},
	}
}

// callJobs performs one call and decodes the JSON response into result unless result is nil. The error includes the
// verdict, so that the operator knows whether to repeat the call. header holds pairs of names and values.
func callJobs(ctx context.Context, c *cli.Command, method, path string, body io.Reader, result any, header ...string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	res, err := sendJobCall(ctx, c, method, path, body, header...)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if result == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(result)
}

// sendJobCall returns the response to a call that succeeded; the caller closes its body.
func sendJobCall(ctx context.Context, c *cli.Command, method, path string, body io.Reader, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.String(flagURL), "/")+path, body)
	if err != nil {
		return nil, exitWith(exitUsage, "settings: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if token := c.String(flagToken); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil && method != http.MethodGet {
		return nil, exitWith(exitUnknownOutcome, "no answer; the call may have taken effect: %w", err)
	}
	if err != nil {
		return nil, exitWith(exitUnavailable, "%w", err)
	}
	if res.StatusCode < http.StatusMultipleChoices {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	var failure jobhttp.Failure
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&failure); err != nil || failure.Message == "" {
		return nil, exitWith(exitUnknownOutcome, "%s: the response has no error message", res.Status)
	}
	return nil, exitWith(jobExitCode(res.StatusCode), "%s (%s, %s)", failure.Message, failure.Code, failure.Verdict)
}

// jobExitCode returns the exit code for the HTTP status of a failed call. 502 and 504 mean that the call may have taken
// effect.
func jobExitCode(status int) int {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return exitUnknownOutcome
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitNotAllowed
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return exitUnavailable
	default:
		return exitUsage
	}
}

func jobArgument(c *cli.Command) (string, error) {
	if err := checkArgCount(c, 1, 1); err != nil {
		return "", err
	}
	return c.Args().First(), nil
}

func jobPath(job string) string {
	return "/v1/jobs/" + url.PathEscape(job)
}

func submitJob(ctx context.Context, c *cli.Command) error {
	name, err := jobArgument(c)
	if err != nil {
		return err
	}
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	body, err := io.ReadAll(io.LimitReader(in, maxResponseBytes))
	if err != nil {
		return err
	}
	var header []string
	if token := c.String("client-token"); token != "" {
		header = []string{jobhttp.TokenHeader, token}
	}
	var accepted jobhttp.SubmitResult
	if err := callJobs(ctx, c, http.MethodPost, "/v1/jobs", bytes.NewReader(body), &accepted, header...); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, accepted.Job)
	return err
}

func listJobs(ctx context.Context, c *cli.Command) error {
	query := url.Values{"limit": {fmt.Sprint(c.Int("limit"))}}
	if after := c.String("after"); after != "" {
		query.Set("after", after)
	}
	var page jobhttp.Page
	if err := callJobs(ctx, c, http.MethodGet, "/v1/jobs?"+query.Encode(), nil, &page); err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "JOB\tCLASS\tSTATE\tTASKS\tACCEPTED\tNAME")
	for _, j := range page.Jobs {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", j.Job, j.Class, j.State, taskCounts(j), j.AcceptedAt.Format(time.DateTime), j.Name)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(page.UnavailableCells) > 0 {
		_, _ = fmt.Fprintf(c.Root().Writer, "not listed, because they have no owner at present: cells %v\n", page.UnavailableCells)
	}
	if page.Next != "" {
		_, _ = fmt.Fprintf(c.Root().Writer, "more: --after %s\n", page.Next)
	}
	return nil
}

// taskCounts returns the number of tasks in each state that has any, in the order of a task's life cycle.
func taskCounts(j jobhttp.Job) string {
	var parts []string
	for _, s := range []string{"queued", "starting", "running", "evicting", "done", "failed", "cancelled", "impossible"} {
		if n := j.Counts[s]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, s))
		}
	}
	return strings.Join(parts, ", ")
}

func getJob(ctx context.Context, c *cli.Command) (jobhttp.Job, error) {
	var j jobhttp.Job
	id, err := jobArgument(c)
	if err != nil {
		return j, err
	}
	err = callJobs(ctx, c, http.MethodGet, fmt.Sprintf("%s?limit=%d", jobPath(id), maxTasksShown), nil, &j)
	return j, err
}

func printJob(out io.Writer, j jobhttp.Job) {
	_, _ = fmt.Fprintf(out, "%s  class %s  %s  %s", j.Job, j.Class, j.State, taskCounts(j))
	if j.Verdict != "" {
		_, _ = fmt.Fprintf(out, "  verdict %s", j.Verdict)
	}
	_, _ = fmt.Fprintln(out)
}

func showJob(ctx context.Context, c *cli.Command) error {
	j, err := getJob(ctx, c)
	if err != nil {
		return err
	}
	printJob(c.Root().Writer, j)
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TASK\tSTATE\tWORKER\tATTEMPTS\tFAILURES\tEVICTIONS\tVERDICT\tWHY")
	for _, t := range j.Tasks {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n",
			t.Task, t.State, t.Worker, t.Attempts, t.Failures, t.Evictions, t.Verdict, t.Reason)
	}
	return w.Flush()
}

// whyJob prints each reason once with the number of its tasks, because most tasks of a job share one.
func whyJob(ctx context.Context, c *cli.Command) error {
	j, err := getJob(ctx, c)
	if err != nil {
		return err
	}
	printJob(c.Root().Writer, j)
	tasksByReason := make(map[string]int)
	var reasons []string
	for _, t := range j.Tasks {
		if t.Reason == "" {
			continue
		}
		reason := t.State + ": " + t.Reason
		if tasksByReason[reason] == 0 {
			reasons = append(reasons, reason)
		}
		tasksByReason[reason]++
	}
	if len(reasons) == 0 {
		_, _ = fmt.Fprintln(c.Root().Writer, "no task waits")
	}
	for i, reason := range reasons {
		if i == maxReasonsShown {
			_, _ = fmt.Fprintf(c.Root().Writer, "and %d more reasons\n", len(reasons)-i)
			break
		}
		_, _ = fmt.Fprintf(c.Root().Writer, "%d tasks %s\n", tasksByReason[reason], reason)
	}
	return nil
}

func cancelJob(ctx context.Context, c *cli.Command) error {
	id, err := jobArgument(c)
	if err != nil {
		return err
	}
	return callJobs(ctx, c, http.MethodDelete, jobPath(id), nil, nil)
}

// watchJob prints each event of the stream until the stream ends. It fails if the job was not final by then.
func watchJob(ctx context.Context, c *cli.Command) error {
	id, err := jobArgument(c)
	if err != nil {
		return err
	}
	res, err := sendJobCall(ctx, c, http.MethodGet, jobPath(id)+"/watch", nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventBytes)
	final := false
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		var j jobhttp.Job
		if err := json.Unmarshal([]byte(data), &j); err != nil {
			return fmt.Errorf("event: %w", err)
		}
		printJob(c.Root().Writer, j)
		final = j.Verdict != ""
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !final {
		return exitWith(exitUnavailable, "the stream ended before the job was final")
	}
	return nil
}
