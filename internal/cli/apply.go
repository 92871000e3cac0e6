package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// applyAttempts is how often an apply is worked out anew because the configuration moved under it.
const applyAttempts = 3

const standardInput = "-"

func newApplyCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Write the resources of a file, all or none",
		Long: "Write the resources of a YAML or JSON file, all or none. A resource with a revision, as `get -o yaml` prints\n" +
			"it, is written only if nobody has changed it since. One without is created; it replaces a different one\n" +
			"only with --overwrite.",
		Example: "  mallowlatch apply -f site.yaml --dry-run\n  mallowlatch apply -f booking.yaml --wait 10s",
		Args:    exactArguments(0),
	}
	flags := addChangeFlags(command)
	file := command.Flags().StringP("filename", "f", "", "file of resources, or - for standard input")
	overwrite := command.Flags().Bool("overwrite", false, "replace resources whose revision the file does not give")
	command.RunE = func(command *cobra.Command, _ []string) error {
		text, err := readInput(command, *file)
		if err != nil {
			return err
		}
		client, err := flags.server.client()
		if err != nil {
			return err
		}
		return (&apply{command: command, client: client, flags: flags, text: text, overwrite: *overwrite, file: *file}).run()
	}
	return command
}

// readInput reads a file or standard input.
func readInput(command *cobra.Command, file string) (string, error) {
	if file == "" {
		return "", usageError("-f must name a file")
	}
	if file == standardInput {
		text, err := io.ReadAll(command.InOrStdin())
		if err != nil {
			return "", fmt.Errorf("reading standard input: %w", err)
		}
		return string(text), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", withExit(ExitUsage, fmt.Errorf("reading the file: %w", err))
	}
	return string(text), nil
}

func isJSON(file string) bool { return strings.EqualFold(filepath.Ext(file), ".json") }

func parseManifests(file, text string) ([]catalog.Manifest, error) {
	parse := catalog.ParseManifests
	if isJSON(file) {
		parse = catalog.ParseJSONManifests
	}
	manifests, err := parse([]byte(text))
	if err != nil {
		return nil, withExit(ExitInvalid, fmt.Errorf("%s: %w", file, err))
	}
	return manifests, nil
}

// apply is one run of the command.
type apply struct {
	command   *cobra.Command
	client    *client
	flags     *changeFlags
	file      string
	text      string
	overwrite bool
}

func (a *apply) run() error {
	manifests, err := parseManifests(a.file, a.text)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		result, err := a.attempt(manifests)
		// The plan is for one revision; when the configuration moves in between, it is made anew. A resource whose own
		// revision is given fails in the plan, every time.
		if hasCode(err, failure.CodeConflict) && !errors.Is(err, errPlanning) && attempt < applyAttempts {
			continue
		}
		if err != nil {
			return err
		}
		return a.flags.finish(a.command, result)
	}
}

const errPlanning = failure.Kind("checking the change")

// attempt asks the server what the apply would do, refuses what would replace unseen changes, and commits the plan at
// the revision it was made for.
func (a *apply) attempt(manifests []catalog.Manifest) (admin.ChangeResult, error) {
	query := a.flags.query()
	query.Del("wait")
	query.Set("dry_run", "true")
	query.Set("overwrite", "true")
	var planned admin.ChangeResult
	if err := a.client.send(a.command.Context(), a.request(query, nil), &planned); err != nil {
		return planned, fmt.Errorf("%w: %w", errPlanning, err)
	}
	if a.flags.dryRun {
		return planned, nil
	}
	if err := a.refuseUnseen(manifests, planned); err != nil {
		return planned, err
	}
	header := map[string]string{"If-Match": strconv.Quote(strconv.FormatInt(planned.Revision, 10))}
	return a.client.sendChange(a.command, a.request(a.flags.query(), header))
}

// refuseUnseen refuses to replace a resource whose revision the file does not give, unless told to overwrite.
func (a *apply) refuseUnseen(manifests []catalog.Manifest, planned admin.ChangeResult) error {
	if a.overwrite {
		return nil
	}
	var replaced []string
	for index, edit := range planned.Edits {
		if edit.Action == admin.ActionUpdate && !manifests[index].Guarded {
			replaced = append(replaced, string(edit.Kind)+"/"+edit.Name)
		}
	}
	if len(replaced) == 0 {
		return nil
	}
	return withExit(ExitConflict, fmt.Errorf("%w: %s would be replaced; give their revisions (get -o yaml prints them) or --overwrite",
		errConflict, strings.Join(replaced, ", ")))
}

func (a *apply) request(query url.Values, header map[string]string) call {
	if header == nil {
		header = map[string]string{}
	}
	header["Content-Type"] = "application/yaml"
	if isJSON(a.file) {
		header["Content-Type"] = "application/json"
	}
	return call{method: http.MethodPost, path: adminPrefix + "apply", query: query, header: header, body: textBody(a.text)}
}
