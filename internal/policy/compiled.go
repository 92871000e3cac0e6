package policy

import (
	"fmt"
	"math"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

// Compiled is a checked policy. It is immutable and safe for concurrent use. The zero value is the default policy.
type Compiled struct {
	priority, mayWait, whenCutOff cel.Program
	// Costs are the worst-case costs of one evaluation, in CEL cost units; zero for the default policy.
	Costs Costs
}

// Costs holds the worst-case cost of each program of a policy.
type Costs struct {
	Priority   uint64 `json:"priority"`
	MayWait    uint64 `json:"may_wait"`
	WhenCutOff uint64 `json:"when_cut_off"`
}

// Compile checks and compiles the programs of a policy. All problems found are returned in one *catalog.InvalidError.
func Compile(policy catalog.Policy) (*Compiled, error) {
	shared, err := sharedEnvironments()
	if err != nil {
		return nil, err
	}
	checker := &checker{name: policy.Name}
	compiled := &Compiled{}
	compiled.priority, compiled.Costs.Priority = checker.program(shared.priority, fieldPriority, policy.Priority, checkNumber)
	compiled.mayWait, compiled.Costs.MayWait = checker.program(shared.mayWait, fieldMayWait, policy.MayWait, checkBool)
	compiled.whenCutOff, compiled.Costs.WhenCutOff = checker.program(shared.whenCutOff, fieldWhenCutOff, policy.WhenCutOff, checkAction)
	if len(checker.problems) > 0 {
		return nil, &catalog.InvalidError{Problems: checker.problems}
	}
	return compiled, nil
}

// Priorities returns the priorities of waiting work; larger values run first. An error wraps ErrEvaluation and means that
// the default priority was used for at least one entry; the returned priorities are still valid.
func (c *Compiled) Priorities(works []Work) ([]float64, error) {
	priorities := make([]float64, len(works))
	var failed error
	activation := &workActivation{}
	for index := range works {
		activation.work = &works[index]
		priority, err := c.priorityOf(activation)
		if err != nil {
			priority, failed = DefaultPriority(works[index]), err
		}
		priorities[index] = priority
	}
	return priorities, failed
}

func (c *Compiled) priorityOf(activation *workActivation) (float64, error) {
	if c.priority == nil {
		return DefaultPriority(*activation.work), nil
	}
	value, _, err := c.priority.Eval(activation)
	if err != nil {
		return 0, fmt.Errorf("%s: %w: %w", fieldPriority, ErrEvaluation, err)
	}
	priority := numberOf(value)
	if math.IsNaN(priority) || math.IsInf(priority, 0) {
		return 0, fmt.Errorf("%s gave %v: %w", fieldPriority, priority, ErrEvaluation)
	}
	return priority, nil
}

// numberOf converts a CEL number. It returns NaN for other types, which the check at compile time rules out.
func numberOf(value ref.Val) float64 {
	switch number := value.(type) {
	case types.Double:
		return float64(number)
	case types.Int:
		return float64(number)
	default:
		return math.NaN()
	}
}

// MayWait reports whether an online request may be queued instead of being refused. An error wraps ErrEvaluation and
// means that the default was used.
func (c *Compiled) MayWait(request Request) (bool, error) {
	if c.mayWait == nil {
		return DefaultMayWait(request), nil
	}
	value, _, err := c.mayWait.Eval(&requestActivation{request: &request})
	if err != nil {
		return DefaultMayWait(request), fmt.Errorf("%s: %w: %w", fieldMayWait, ErrEvaluation, err)
	}
	return value == types.True, nil
}

// WhenCutOff returns the action of a partitioned site. An error wraps ErrEvaluation and means that the default was used.
func (c *Compiled) WhenCutOff(site Site) (CutOffAction, error) {
	if c.whenCutOff == nil {
		return DefaultCutOffAction, nil
	}
	value, _, err := c.whenCutOff.Eval(&siteActivation{site: &site})
	if err != nil {
		return DefaultCutOffAction, fmt.Errorf("%s: %w: %w", fieldWhenCutOff, ErrEvaluation, err)
	}
	action, isString := value.(types.String)
	if !isString {
		return DefaultCutOffAction, fmt.Errorf("%s gave %v: %w", fieldWhenCutOff, value, ErrEvaluation)
	}
	return CutOffAction(action), nil
}
