package policy

import (
	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
)

// The activations resolve variables directly from the Go values: only the variables a program uses are converted, and no
// map is allocated.

type workActivation struct{ work *Work }

// ResolveName returns the value of a variable of the program "priority".
func (a *workActivation) ResolveName(name string) (any, bool) {
	switch name {
	case variableTenant:
		return types.String(a.work.Tenant), true
	case variableService:
		return types.String(a.work.Service), true
	case variableAge:
		return types.Double(a.work.Age.Seconds()), true
	case variableDeadline:
		return types.Double(a.work.UntilDeadline.Seconds()), true
	case variableWaitingItems:
		return types.Double(a.work.WaitingItems), true
	case variableTenantShare:
		return types.Double(a.work.TenantShare), true
	default:
		return nil, false
	}
}

// Parent returns nil: there is no outer scope.
func (a *workActivation) Parent() cel.Activation { return nil }

type requestActivation struct{ request *Request }

// ResolveName returns the value of a variable of the program "may_wait".
func (a *requestActivation) ResolveName(name string) (any, bool) {
	switch name {
	case variableTenant:
		return types.String(a.request.Tenant), true
	case variableService:
		return types.String(a.request.Service), true
	case variableDeadline:
		return types.Double(a.request.UntilDeadline.Seconds()), true
	case variableEstimatedWait:
		return types.Double(a.request.EstimatedWait.Seconds()), true
	case variableQueueLength:
		return types.Double(a.request.QueueLength), true
	case variableRepeatable:
		return types.Bool(a.request.Repeatable), true
	default:
		return nil, false
	}
}

// Parent returns nil: there is no outer scope.
func (a *requestActivation) Parent() cel.Activation { return nil }

type siteActivation struct{ site *Site }

// ResolveName returns the value of a variable of the program "when_cut_off".
func (a *siteActivation) ResolveName(name string) (any, bool) {
	switch name {
	case variableZone:
		return types.String(a.site.Zone), true
	case variableRegion:
		return types.String(a.site.Region), true
	case variableService:
		return types.String(a.site.Service), true
	case variableCutOff:
		return types.Double(a.site.CutOff.Seconds()), true
	case variableReachableZones:
		return types.Double(a.site.ReachableZones), true
	case variableTotalZones:
		return types.Double(a.site.TotalZones), true
	default:
		return nil, false
	}
}

// Parent returns nil: there is no outer scope.
func (a *siteActivation) Parent() cel.Activation { return nil }
