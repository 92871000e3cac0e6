package policy

import (
	"fmt"
	"math"
	"sync"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/env"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/overloads"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

// Names of the variables available to programs. Times are in seconds.
const (
	variableTenant         = "tenant"
	variableService        = "service"
	variableAge            = "age_seconds"
	variableDeadline       = "deadline_seconds"
	variableWaitingItems   = "waiting_items"
	variableTenantShare    = "tenant_share"
	variableEstimatedWait  = "estimated_wait_seconds"
	variableQueueLength    = "queue_length"
	variableRepeatable     = "repeatable"
	variableZone           = "zone"
	variableRegion         = "region"
	variableCutOff         = "cut_off_seconds"
	variableReachableZones = "reachable_zones"
	variableTotalZones     = "total_zones"
)

// environments holds one CEL environment for each kind of program.
type environments struct {
	priority, mayWait, whenCutOff *cel.Env
}

// sharedEnvironments builds the environments on first use and shares them: they are constant, and together they take more
// memory than the programs of a whole fleet.
var sharedEnvironments = sync.OnceValues(func() (environments, error) {
	base, err := cel.NewCustomEnv(baseOptions()...)
	if err != nil {
		return environments{}, fmt.Errorf("building the policy environment: %w", err)
	}
	var built environments
	for _, part := range []struct {
		target    **cel.Env
		variables []cel.EnvOption
	}{
		{&built.priority, priorityVariables()},
		{&built.mayWait, mayWaitVariables()},
		{&built.whenCutOff, whenCutOffVariables()},
	} {
		extended, err := base.Extend(part.variables...)
		if err != nil {
			return environments{}, fmt.Errorf("declaring policy variables: %w", err)
		}
		*part.target = extended
	}
	return built, nil
})

func priorityVariables() []cel.EnvOption {
	return []cel.EnvOption{
		cel.Variable(variableTenant, cel.StringType),
		cel.Variable(variableService, cel.StringType),
		cel.Variable(variableAge, cel.DoubleType),
		cel.Variable(variableDeadline, cel.DoubleType),
		cel.Variable(variableWaitingItems, cel.DoubleType),
		cel.Variable(variableTenantShare, cel.DoubleType),
	}
}

func mayWaitVariables() []cel.EnvOption {
	return []cel.EnvOption{
		cel.Variable(variableTenant, cel.StringType),
		cel.Variable(variableService, cel.StringType),
		cel.Variable(variableDeadline, cel.DoubleType),
		cel.Variable(variableEstimatedWait, cel.DoubleType),
		cel.Variable(variableQueueLength, cel.DoubleType),
		cel.Variable(variableRepeatable, cel.BoolType),
	}
}

func whenCutOffVariables() []cel.EnvOption {
	return []cel.EnvOption{
		cel.Variable(variableZone, cel.StringType),
		cel.Variable(variableRegion, cel.StringType),
		cel.Variable(variableService, cel.StringType),
		cel.Variable(variableCutOff, cel.DoubleType),
		cel.Variable(variableReachableZones, cel.DoubleType),
		cel.Variable(variableTotalZones, cel.DoubleType),
	}
}

// baseOptions defines the language: comparison, logic, floating-point arithmetic, list membership, three string tests, min
// and max. Macros are disabled, so a program has no loops. Indexing, regular expressions, conversions and integer
// arithmetic are excluded, so the only possible run-time failure is a result that is not finite.
func baseOptions() []cel.EnvOption {
	return []cel.EnvOption{
		cel.StdLib(cel.StdLibSubset(&env.LibrarySubset{
			DisableMacros:    true,
			IncludeFunctions: allowedFunctions(),
		})),
		cel.CrossTypeNumericComparisons(true),
		cel.ParserRecursionLimit(maxNesting),
		binaryFunction("min", math.Min),
		binaryFunction("max", math.Max),
	}
}

func allowedFunctions() []*env.Function {
	return []*env.Function{
		env.NewFunction(operators.Conditional),
		env.NewFunction(operators.LogicalAnd),
		env.NewFunction(operators.LogicalOr),
		env.NewFunction(operators.LogicalNot),
		env.NewFunction(operators.Equals),
		env.NewFunction(operators.NotEquals),
		env.NewFunction(operators.Less),
		env.NewFunction(operators.LessEquals),
		env.NewFunction(operators.Greater),
		env.NewFunction(operators.GreaterEquals),
		env.NewFunction(operators.In),
		env.NewFunction(operators.Add, env.NewOverload(overloads.AddDouble, nil, nil)),
		env.NewFunction(operators.Subtract, env.NewOverload(overloads.SubtractDouble, nil, nil)),
		env.NewFunction(operators.Multiply, env.NewOverload(overloads.MultiplyDouble, nil, nil)),
		env.NewFunction(operators.Divide, env.NewOverload(overloads.DivideDouble, nil, nil)),
		env.NewFunction(operators.Negate, env.NewOverload(overloads.NegateDouble, nil, nil)),
		env.NewFunction(overloads.StartsWith),
		env.NewFunction(overloads.EndsWith),
		env.NewFunction(overloads.Contains),
	}
}

// binaryFunction declares a function of two numbers, min or max.
func binaryFunction(name string, choose func(first, second float64) float64) cel.EnvOption {
	binding := func(first, second ref.Val) ref.Val {
		return types.Double(choose(float64(first.(types.Double)), float64(second.(types.Double))))
	}
	arguments := []*cel.Type{cel.DoubleType, cel.DoubleType}
	return cel.Function(name, cel.Overload(name+"_double_double", arguments, cel.DoubleType, cel.BinaryBinding(binding)))
}
