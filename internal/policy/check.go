package policy

import (
	"fmt"
	"strings"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/types"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

const (
	// MaxCost is the maximum statically estimated worst-case cost of one evaluation, in CEL cost units (roughly
	// operations). It corresponds to about 20 us.
	MaxCost = 200
	// maxNesting is the maximum nesting depth of expressions.
	maxNesting = 64
	// maxNameBytes is the maximum length of a string variable, as limited by the catalog's validation of names.
	maxNameBytes = 128
)

// Names of the program fields of a policy in the wire format.
const (
	fieldPriority   = "priority"
	fieldMayWait    = "may_wait"
	fieldWhenCutOff = "when_cut_off"
)

// checker compiles the programs of one policy and collects their problems.
type checker struct {
	name     string
	problems []catalog.Problem
}

func (c *checker) addProblem(field, format string, arguments ...any) {
	c.problems = append(c.problems, catalog.Problem{
		Kind:    catalog.KindPolicy,
		Name:    c.name,
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

// program compiles one program and returns it with its worst-case cost. It returns nil if the program is empty or invalid.
// check validates the type-checked program and returns a message if it is invalid.
func (c *checker) program(environment *cel.Env, field, text string, check func(*cel.Ast) string) (cel.Program, uint64) {
	if strings.TrimSpace(text) == "" {
		return nil, 0
	}
	checked, issues := environment.Compile(text)
	if issues.Err() != nil {
		c.reportIssues(field, issues)
		return nil, 0
	}
	if message := check(checked); message != "" {
		c.addProblem(field, "%s", message)
		return nil, 0
	}
	worst, err := worstCost(environment, checked)
	if err != nil {
		c.addProblem(field, "its cost cannot be bounded: %v", err)
		return nil, 0
	}
	if worst > MaxCost {
		c.addProblem(field, "one evaluation may cost %d units; at most %d are allowed", worst, MaxCost)
		return nil, 0
	}
	program, err := environment.Program(checked, cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		c.addProblem(field, "%v", err)
		return nil, 0
	}
	return program, worst
}

func (c *checker) reportIssues(field string, issues *cel.Issues) {
	for _, issue := range issues.Errors() {
		message := issue.Message
		if strings.Contains(message, "int") {
			message += " (write numbers with a decimal point: 2.0)"
		}
		c.addProblem(field, "program line %d, column %d: %s", issue.Location.Line(), issue.Location.Column()+1, message)
	}
}

func worstCost(environment *cel.Env, checked *cel.Ast) (uint64, error) {
	estimate, err := environment.EstimateCost(checked, nameSizes{})
	if err != nil {
		return 0, fmt.Errorf("estimating the cost: %w", err)
	}
	return estimate.Max, nil
}

// nameSizes provides the maximum length of string variables to CEL's cost estimator.
type nameSizes struct{}

func (nameSizes) EstimateSize(element cost.AstNode) *cost.SizeEstimate {
	if len(element.Path()) == 0 || element.Type().Kind() != types.StringKind {
		return nil
	}
	return &cost.SizeEstimate{Min: 0, Max: maxNameBytes}
}

func (nameSizes) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

func checkNumber(checked *cel.Ast) string {
	kind := checked.OutputType().Kind()
	if kind == types.DoubleKind || kind == types.IntKind {
		return ""
	}
	return fmt.Sprintf("must give a number, not %s", checked.OutputType())
}

func checkBool(checked *cel.Ast) string {
	if checked.OutputType().Kind() == types.BoolKind {
		return ""
	}
	return fmt.Sprintf("must give true or false, not %s", checked.OutputType())
}

// checkAction requires every branch of the program to be a literal action. This rules out unhandled cases and misspelled
// actions, which would otherwise only surface when a zone is partitioned.
func checkAction(checked *cel.Ast) string {
	return checkActionCase(checked.NativeRep().Expr())
}

func checkActionCase(expression ast.Expr) string {
	if expression.Kind() == ast.CallKind && expression.AsCall().FunctionName() == operators.Conditional {
		cases := expression.AsCall().Args()[1:]
		for _, branch := range cases {
			if message := checkActionCase(branch); message != "" {
				return message
			}
		}
		return ""
	}
	allowed := fmt.Sprintf("each case must be one of %q, %q, %q", Serve, RefuseBatch, RefuseAll)
	if expression.Kind() != ast.LiteralKind {
		return allowed + ", written out"
	}
	switch action := expression.AsLiteral().Value(); action {
	case string(Serve), string(RefuseBatch), string(RefuseAll):
		return ""
	default:
		return fmt.Sprintf("%s, not %#v", allowed, action)
	}
}
