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
	maxAnswerBytes = 8 << 20
	tasksExplained = 1000
	reasonsPrinted = 20
	maxEventBytes  = 1 << 20
)

// jobCommand returns the commands about jobs.
func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, follow and cancel jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit the job in a JSON file, - for standard input", ArgsUsage: "FILE",
				Flags: []cli.Flag{&cli.StringFlag{
					Name: "client-token", Usage: "makes a repeat of this submission safe", Sources: env("CLIENT_TOKEN"),
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
			{Name: "why", Usage: "say what the tasks of a job wait for, or why they failed", ArgsUsage: "JOB", Action: whyJob},
		},
	}
}

// callJobs performs one call. A failure names the verdict, so that the operator knows whether to repeat the call.
func callJobs(ctx context.Context, c *cli.Command, method, path string, body io.Reader, into any, header ...string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	res, err := sendJobCall(ctx, c, method, path, body, header...)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(into)
}

// sendJobCall returns the answer to a call that succeeded; the caller closes its body.
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
		return nil, exitWith(exitUnknown, "no answer; the call may have taken effect: %w", err)
	}
	if err != nil {
		return nil, exitWith(exitUnavailable, "%w", err)
	}
	if res.StatusCode < http.StatusMultipleChoices {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	var f jobhttp.Failure
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&f); err != nil || f.Message == "" {
		return nil, exitWith(exitUnknown, "%s: answer without a reason", res.Status)
	}
	return nil, exitWith(jobExitCode(res.StatusCode), "%s (%s, %s)", f.Message, f.Code, f.Verdict)
}

// jobExitCode follows the verdict: 502 and 504 mean that the call may have taken effect.
func jobExitCode(status int) int {
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return exitUnknown
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitNotAllowed
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return exitUnavailable
	default:
		return exitUsage
	}
}

func jobArgument(c *cli.Command) (string, error) {
	if err := arguments(c, 1, 1); err != nil {
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
	body, err := io.ReadAll(io.LimitReader(in, maxAnswerBytes))
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
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", j.Job, j.Class, j.State, counts(j), j.AcceptedAt.Format(time.DateTime), j.Name)
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

// counts prints the tasks in the order of their life.
func counts(j jobhttp.Job) string {
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
	err = callJobs(ctx, c, http.MethodGet, fmt.Sprintf("%s?limit=%d", jobPath(id), tasksExplained), nil, &j)
	return j, err
}

func printJob(out io.Writer, j jobhttp.Job) {
	_, _ = fmt.Fprintf(out, "%s  class %s  %s  %s", j.Job, j.Class, j.State, counts(j))
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

// whyJob counts the reasons, because most tasks of a job share one.
func whyJob(ctx context.Context, c *cli.Command) error {
	j, err := getJob(ctx, c)
	if err != nil {
		return err
	}
	printJob(c.Root().Writer, j)
	byReason := make(map[string]int)
	var order []string
	for _, t := range j.Tasks {
		if t.Reason == "" {
			continue
		}
		reason := t.State + ": " + t.Reason
		if byReason[reason] == 0 {
			order = append(order, reason)
		}
		byReason[reason]++
	}
	if len(order) == 0 {
		_, _ = fmt.Fprintln(c.Root().Writer, "no task waits")
	}
	for i, reason := range order {
		if i == reasonsPrinted {
			_, _ = fmt.Fprintf(c.Root().Writer, "and %d more reasons\n", len(order)-i)
			break
		}
		_, _ = fmt.Fprintf(c.Root().Writer, "%d tasks %s\n", byReason[reason], reason)
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

// watchJob prints each event of the stream until the job is final.
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
