package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/policy"
)

func newPolicyCommand() *cobra.Command {
	return group("policy", "Check and try out policies without a server", newPolicyCheckCommand(), newPolicyTestCommand())
}

// compiledPolicy is a policy of a file, compiled.
type compiledPolicy struct {
	Name string       `json:"name"`
	Cost policy.Costs `json:"worst_cost"`

	compiled *policy.Compiled
}

func newPolicyCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "check -f FILE",
		Short: "Compile the policies of a file and print their worst costs",
		Args:  exactArguments(0),
	}
	format := addOutput(command)
	file := command.Flags().StringP("filename", "f", "", "file of resources, or - for standard input")
	command.RunE = func(command *cobra.Command, _ []string) error {
		policies, err := readPolicies(command, *file)
		if err != nil {
			return err
		}
		return format.print(command.OutOrStdout(), policies, func(rows *tabwriter.Writer) {
			row(rows, "POLICY", "PRIORITY COST", "MAY_WAIT COST", "WHEN_CUT_OFF COST")
			for _, checked := range policies {
				row(rows, checked.Name, checked.Cost.Priority, checked.Cost.MayWait, checked.Cost.WhenCutOff)
			}
		})
	}
	return command
}

// readPolicies compiles the policies of a file of resources and skips its other resources.
func readPolicies(command *cobra.Command, file string) ([]compiledPolicy, error) {
	text, err := readInput(command, file)
	if err != nil {
		return nil, err
	}
	manifests, err := parseManifests(file, text)
	if err != nil {
		return nil, err
	}
	var policies []compiledPolicy
	var problems []catalog.Problem
	for _, manifest := range manifests {
		if manifest.Kind != catalog.KindPolicy {
			continue
		}
		checked, found := compilePolicy(manifest)
		policies = append(policies, checked)
		problems = append(problems, found...)
	}
	if len(problems) > 0 {
		return nil, withExit(ExitInvalid, fmt.Errorf("%s: %w", file, &catalog.InvalidError{Problems: problems}))
	}
	if len(policies) == 0 {
		return nil, withExit(ExitInvalid, fmt.Errorf("%s: %w: it holds no policy", file, errInvalid))
	}
	return policies, nil
}

func compilePolicy(manifest catalog.Manifest) (compiledPolicy, []catalog.Problem) {
	decoded, err := catalog.Decode(manifest.Resource)
	if err != nil {
		return compiledPolicy{}, located(manifest, err)
	}
	source := *decoded.(*catalog.Policy)
	compiled, err := policy.Compile(source)
	if err != nil {
		return compiledPolicy{}, located(manifest, err)
	}
	return compiledPolicy{Name: source.Name, Cost: compiled.Costs, compiled: compiled}, nil
}

// located returns the problems of an error, with their lines.
func located(manifest catalog.Manifest, err error) []catalog.Problem {
	var invalid *catalog.InvalidError
	if !errors.As(err, &invalid) {
		return []catalog.Problem{manifest.Locate(catalog.Problem{Message: err.Error()})}
	}
	problems := make([]catalog.Problem, 0, len(invalid.Problems))
	for _, problem := range invalid.Problems {
		problems = append(problems, manifest.Locate(problem))
	}
	return problems
}

// sample is a file of sample work for "policy test".
type sample struct {
	Work     []sampleWork    `yaml:"work"`
	Requests []sampleRequest `yaml:"requests"`
	Sites    []sampleSite    `yaml:"sites"`
}

type sampleWork struct {
	Tenant       ident.Tenant  `yaml:"tenant"`
	Service      string        `yaml:"service"`
	Age          time.Duration `yaml:"age"`
	Deadline     time.Duration `yaml:"deadline"`
	WaitingItems int           `yaml:"waiting_items"`
	TenantShare  float64       `yaml:"tenant_share"`
}

type sampleRequest struct {
	Tenant        ident.Tenant  `yaml:"tenant"`
	Service       string        `yaml:"service"`
	Deadline      time.Duration `yaml:"deadline"`
	EstimatedWait time.Duration `yaml:"estimated_wait"`
	QueueLength   int           `yaml:"queue_length"`
	Repeatable    bool          `yaml:"repeatable"`
}

type sampleSite struct {
	Zone           ident.Zone    `yaml:"zone"`
	Region         ident.Region  `yaml:"region"`
	Service        string        `yaml:"service"`
	CutOff         time.Duration `yaml:"cut_off"`
	ReachableZones int           `yaml:"reachable_zones"`
	TotalZones     int           `yaml:"total_zones"`
}

// testedWork, testedRequest and testedSite are what a policy says of the samples.
type testedWork struct {
	Place    int          `json:"place"`
	Sample   int          `json:"sample"`
	Tenant   ident.Tenant `json:"tenant"`
	Service  string       `json:"service"`
	Priority float64      `json:"priority"`
}

type testedRequest struct {
	Sample  int          `json:"sample"`
	Tenant  ident.Tenant `json:"tenant"`
	Service string       `json:"service"`
	MayWait bool         `json:"may_wait"`
}

type testedSite struct {
	Sample int                 `json:"sample"`
	Zone   ident.Zone          `json:"zone"`
	Action policy.CutOffAction `json:"when_cut_off"`
}

type policyTest struct {
	Policy   string          `json:"policy"`
	Order    []testedWork    `json:"order,omitempty"`
	Requests []testedRequest `json:"requests,omitempty"`
	Sites    []testedSite    `json:"sites,omitempty"`
	// Failures lists programs that failed on a sample, where the default answered.
	Failures []string `json:"failures,omitempty"`
}

func newPolicyTestCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "test -f FILE --sample SAMPLE",
		Short:   "Run the policies of a file against sample work and print the order they give",
		Example: "  mallowlatch policy test -f policies.yaml --sample sample-work.yaml",
		Args:    exactArguments(0),
	}
	format := addOutput(command)
	file := command.Flags().StringP("filename", "f", "", "file of resources, or - for standard input")
	samples := command.Flags().String("sample", "", "file of sample work, requests and sites")
	command.RunE = func(command *cobra.Command, _ []string) error {
		policies, err := readPolicies(command, *file)
		if err != nil {
			return err
		}
		read, err := readSample(*samples)
		if err != nil {
			return err
		}
		results := make([]policyTest, 0, len(policies))
		failed := false
		for _, tried := range policies {
			result := read.run(tried)
			failed = failed || len(result.Failures) > 0
			results = append(results, result)
		}
		if err := format.print(command.OutOrStdout(), results, func(rows *tabwriter.Writer) { printPolicyTests(rows, results) }); err != nil {
			return err
		}
		if failed {
			return withExit(ExitInvalid, fmt.Errorf("%w: a program failed on a sample", errInvalid))
		}
		return nil
	}
	return command
}

func readSample(file string) (sample, error) {
	if file == "" {
		return sample{}, usageError("--sample must name a file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return sample{}, withExit(ExitUsage, fmt.Errorf("reading the sample: %w", err))
	}
	var read sample
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&read); err != nil && !errors.Is(err, io.EOF) {
		return sample{}, withExit(ExitInvalid, fmt.Errorf("%s: %w", file, err))
	}
	return read, nil
}

func (s sample) run(tried compiledPolicy) policyTest {
	result := policyTest{Policy: tried.Name}
	note := func(err error) {
		if err != nil {
			result.Failures = append(result.Failures, err.Error())
		}
	}
	ranked, err := tried.compiled.Order(s.works())
	note(err)
	for place, entry := range ranked {
		result.Order = append(result.Order, testedWork{
			Place: place + 1, Sample: entry.Index + 1, Tenant: entry.Work.Tenant, Service: entry.Work.Service, Priority: entry.Priority,
		})
	}
	for index, request := range s.Requests {
		mayWait, err := tried.compiled.MayWait(request.request())
		note(err)
		result.Requests = append(result.Requests, testedRequest{Sample: index + 1, Tenant: request.Tenant, Service: request.Service, MayWait: mayWait})
	}
	for index, site := range s.Sites {
		action, err := tried.compiled.WhenCutOff(policy.Site(site))
		note(err)
		result.Sites = append(result.Sites, testedSite{Sample: index + 1, Zone: site.Zone, Action: action})
	}
	return result
}

func (s sample) works() []policy.Work {
	works := make([]policy.Work, 0, len(s.Work))
	for _, work := range s.Work {
		works = append(works, policy.Work{
			Tenant:        work.Tenant,
			Service:       work.Service,
			Age:           work.Age,
			UntilDeadline: work.Deadline,
			WaitingItems:  work.WaitingItems,
			TenantShare:   work.TenantShare,
		})
	}
	return works
}

func (s sampleRequest) request() policy.Request {
	return policy.Request{
		Tenant:        s.Tenant,
		Service:       s.Service,
		UntilDeadline: s.Deadline,
		EstimatedWait: s.EstimatedWait,
		QueueLength:   s.QueueLength,
		Repeatable:    s.Repeatable,
	}
}

func printPolicyTests(rows *tabwriter.Writer, results []policyTest) {
	for _, result := range results {
		row(rows, "policy "+result.Policy)
		for _, work := range result.Order {
			row(rows, fmt.Sprintf("  %d.", work.Place), fmt.Sprintf("work %d", work.Sample), work.Tenant, work.Service, fmt.Sprintf("priority %g", work.Priority))
		}
		for _, request := range result.Requests {
			row(rows, "  -", fmt.Sprintf("request %d", request.Sample), request.Tenant, request.Service, fmt.Sprintf("may wait: %t", request.MayWait))
		}
		for _, site := range result.Sites {
			row(rows, "  -", fmt.Sprintf("site %d", site.Sample), site.Zone, "", site.Action)
		}
		for _, failed := range result.Failures {
			row(rows, "  failed: "+failed)
		}
	}
}
