package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

// Bounds of the wait between two looks at a job.
const (
	minPollPeriod = 200 * time.Millisecond
	maxPollPeriod = 5 * time.Second
)

// batchObject is what the caller API says of a job.
type batchObject struct {
	ID         ident.Job  `json:"id"`
	Status     job.Status `json:"status"`
	Endpoint   string     `json:"endpoint"`
	InputFile  ident.File `json:"input_file_id"`
	OutputFile ident.File `json:"output_file_id,omitempty"`
	ErrorFile  ident.File `json:"error_file_id,omitempty"`
	CreatedAt  int64      `json:"created_at"`
	ExpiresAt  int64      `json:"expires_at,omitempty"`
	Counts     job.Counts `json:"request_counts"`
}

func newJobCommand() *cobra.Command {
	command := group("job", "Submit batch jobs and follow them, over the caller API")
	server := callerConnection(command)
	command.AddCommand(
		newJobSubmitCommand(server),
		newJobStatusCommand(server),
		newJobCancelCommand(server),
		newJobResultsCommand(server),
	)
	return command
}

func newJobSubmitCommand(server *connection) *cobra.Command {
	command := &cobra.Command{
		Use:   "submit FILE",
		Short: "Upload a file of items, one JSON object a line, and submit it as a job",
		Long: "Upload a file of items and submit it as a job. Sending the same file again finds the first job, unless\n" +
			"--idempotency-key gives the submission another name.",
		Example: "  mallowlatch job submit rosters.jsonl --window 2h --wait 10m",
		Args:    exactArguments(1),
	}
	format := addOutput(command)
	endpoint := command.Flags().String("endpoint", string(inference.ChatCompletions), "path the items are for")
	window := command.Flags().String("window", "24h", "time from submission to deadline")
	key := command.Flags().String("idempotency-key", "", "name of the submission; by default the content of the file names it")
	wait := command.Flags().Duration("wait", 0, "wait so long for the job to end")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		submission := submission{file: arguments[0], endpoint: *endpoint, window: *window, key: *key}
		submitted, err := client.submit(command.Context(), submission)
		if err != nil {
			return err
		}
		if *wait > 0 {
			submitted, err = client.waitForJob(command.Context(), submitted, *wait)
		}
		if printErr := printJob(command, format, submitted); printErr != nil {
			return printErr
		}
		return err
	}
	return command
}

type submission struct{ file, endpoint, window, key string }

// submit uploads the file and submits the job. Both may be sent again: the content names the job.
func (c *client) submit(ctx context.Context, wanted submission) (batchObject, error) {
	var uploaded struct {
		ID ident.File `json:"id"`
	}
	upload, err := uploadOf(wanted.file)
	if err != nil {
		return batchObject{}, err
	}
	if err := c.sendSafely(ctx, upload, &uploaded); err != nil {
		return batchObject{}, fmt.Errorf("uploading %s: %w", wanted.file, err)
	}
	body, err := json.Marshal(map[string]string{
		"input_file_id":     string(uploaded.ID),
		"endpoint":          wanted.endpoint,
		"completion_window": wanted.window,
	})
	if err != nil {
		return batchObject{}, fmt.Errorf("writing the submission: %w", err)
	}
	request := call{method: http.MethodPost, path: "/v1/batches", header: map[string]string{"Content-Type": "application/json"}, body: textBody(string(body))}
	if wanted.key != "" {
		request.header["Idempotency-Key"] = wanted.key
	}
	var submitted batchObject
	if err := c.sendSafely(ctx, request, &submitted); err != nil {
		return batchObject{}, fmt.Errorf("submitting the job: %w", err)
	}
	return submitted, nil
}

// waitForJob asks until the job has ended or the time is over.
func (c *client) waitForJob(ctx context.Context, followed batchObject, wait time.Duration) (batchObject, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	period := minPollPeriod
	for !ended(followed.Status) {
		if !pause(ctx, period) {
			return followed, withExit(ExitNotYet, fmt.Errorf("job %s is %s after %s: %w", followed.ID, followed.Status, wait, errNotYet))
		}
		period = min(2*period, maxPollPeriod)
		// One unanswered question is no reason to stop asking.
		var newer batchObject
		if err := c.read(ctx, "/v1/batches/"+string(followed.ID), nil, &newer); err == nil {
			followed = newer
		}
	}
	return followed, jobError(followed)
}

func ended(status job.Status) bool {
	switch status {
	case job.Completed, job.Failed, job.Expired, job.Cancelled:
		return true
	default:
		return false
	}
}

// jobError is not nil if the job ended without completing.
func jobError(done batchObject) error {
	if done.Status == job.Completed {
		return nil
	}
	return fmt.Errorf("job %s is %s: %w", done.ID, done.Status, errJobFailed)
}

func newJobStatusCommand(server *connection) *cobra.Command {
	command := &cobra.Command{Use: "status ID", Short: "Show a job", Args: exactArguments(1)}
	format := addOutput(command)
	wait := command.Flags().Duration("wait", 0, "wait so long for the job to end")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		var shown batchObject
		if err := client.read(command.Context(), "/v1/batches/"+arguments[0], nil, &shown); err != nil {
			return err
		}
		if *wait > 0 {
			shown, err = client.waitForJob(command.Context(), shown, *wait)
		}
		if printErr := printJob(command, format, shown); printErr != nil {
			return printErr
		}
		return err
	}
	return command
}

func newJobCancelCommand(server *connection) *cobra.Command {
	command := &cobra.Command{Use: "cancel ID", Short: "Cancel a job", Args: exactArguments(1)}
	format := addOutput(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		var cancelled batchObject
		request := call{method: http.MethodPost, path: "/v1/batches/" + arguments[0] + "/cancel"}
		if err := client.sendSafely(command.Context(), request, &cancelled); err != nil {
			return err
		}
		return printJob(command, format, cancelled)
	}
	return command
}

func newJobResultsCommand(server *connection) *cobra.Command {
	command := &cobra.Command{
		Use:   "results ID",
		Short: "Write the results of a job, one JSON object a line",
		Args:  exactArguments(1),
	}
	target := command.Flags().String("output-file", "", "file to write; by default standard output")
	errorsOnly := command.Flags().Bool("errors", false, "write the items that failed")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		client, err := server.client()
		if err != nil {
			return err
		}
		var done batchObject
		if err := client.read(command.Context(), "/v1/batches/"+arguments[0], nil, &done); err != nil {
			return err
		}
		file := done.OutputFile
		if *errorsOnly {
			file = done.ErrorFile
		}
		if file == "" {
			return withExit(ExitNotFound, fmt.Errorf("job %s is %s and has no such file: %w", done.ID, done.Status, errInvalid))
		}
		return client.download(command, file, *target)
	}
	return command
}

// download copies a file of the job store without holding it in memory.
func (c *client) download(command *cobra.Command, file ident.File, target string) error {
	body, err := c.open(command.Context(), call{method: http.MethodGet, path: "/v1/files/" + string(file) + "/content"})
	if err != nil {
		return err
	}
	defer body.Close()
	if target == "" {
		return copyAll(command.OutOrStdout(), body)
	}
	created, err := os.Create(target)
	if err != nil {
		return fmt.Errorf("creating the file: %w", err)
	}
	defer created.Close()
	if err := copyAll(created, body); err != nil {
		return err
	}
	if err := created.Close(); err != nil {
		return fmt.Errorf("writing %s: %w", target, err)
	}
	return nil
}

func copyAll(to io.Writer, from io.Reader) error {
	if _, err := io.Copy(to, from); err != nil {
		return fmt.Errorf("copying the file, which is not whole: %w", err)
	}
	return nil
}

func printJob(command *cobra.Command, format *output, shown batchObject) error {
	return format.print(command.OutOrStdout(), shown, func(rows *tabwriter.Writer) {
		row(rows, "JOB", "STATUS", "COMPLETED", "FAILED", "TOTAL", "DEADLINE", "OUTPUT", "ERRORS")
		row(rows, shown.ID, shown.Status, shown.Counts.Completed, shown.Counts.Failed, shown.Counts.Total,
			deadlineText(shown.ExpiresAt), shown.OutputFile, shown.ErrorFile)
	})
}

func deadlineText(seconds int64) string {
	if seconds == 0 {
		return ""
	}
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}
