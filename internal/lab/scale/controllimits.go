package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/admission/admissionpb"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

const (
	// tenantCount is the number of tenants of the design. A tenant's callers come to the nodes of one zone.
	tenantCount     = 2200
	tokensOfRequest = 1000
	// demandPeriod is how often a node reports its demand, as the exchange of admission does.
	demandPeriod    = 2 * time.Second
	promptTokens    = 300
	answerTokens    = 440
	serviceLimits   = "limits"
	designZoneCount = 11
)

// fixedCatalog is a configuration that does not change.
type fixedCatalog struct{ snapshot *catalog.Snapshot }

// Current returns the configuration.
func (f fixedCatalog) Current() *catalog.Snapshot { return f.snapshot }

// Changed returns a channel that is never closed.
func (f fixedCatalog) Changed(int64) <-chan struct{} { return nil }

func tenantName(index int) ident.Tenant { return ident.Tenant(fmt.Sprintf("tenant-%04d", index)) }

// limitedTenants gives each tenant a limit of requests a second, and of a thousand times as many tokens.
func limitedTenants(rate float64) fixedCatalog {
	tenants := map[ident.Tenant]catalog.Tenant{}
	for index := range tenantCount {
		name := tenantName(index)
		tenants[name] = catalog.Tenant{Name: name, Weight: 1, RequestsPerSecond: rate, TokensPerSecond: rate * tokensOfRequest}
	}
	return fixedCatalog{&catalog.Snapshot{Tenants: tenants}}
}

func (f *controlFleet) addLimits(node *controlNode) {
	node.limits = admission.New(admission.Config{
		Node:    node.hollow.Self.Node,
		Catalog: f.tenants,
		Nodes: func() []ident.Node {
			node.refresh()
			return node.names
		},
		Now: f.fleet.Now,
	})
	f.everyOf(node, demandPeriod, func() { f.reportDemand(node) })
}

// reportDemand tells the homes of the limits in use, as the exchange of a real node does.
func (f *controlFleet) reportDemand(node *controlNode) {
	reports := node.limits.Reports()
	for _, home := range slices.Sorted(maps.Keys(reports)) {
		report := reports[home]
		if home == node.hollow.Self.Node {
			node.limits.TakeTotals(node.limits.HomeReport(report))
			continue
		}
		call(f, node, home, serviceLimits, report,
			func(home *controlNode, report *admissionpb.DemandReport) *admissionpb.DemandTotals {
				return home.limits.HomeReport(report)
			},
			func(totals *admissionpb.DemandTotals, delivered bool) {
				if delivered {
					node.limits.TakeTotals(totals)
				}
			})
	}
}

// admit asks the limits for a request of one of the zone's tenants.
func (f *controlFleet) admit(node *controlNode) (*admission.Ticket, bool) {
	own := tenantCount / designZoneCount
	zone := f.zoneIndex[node.hollow.Self.Zone] % designZoneCount
	request := &inference.Request{
		Tenant: tenantName(zone*own + node.random.IntN(own)), Service: "service",
		PromptTokens: promptTokens, MaxTokens: answerTokens,
	}
	ticket, err := node.limits.Admit(context.Background(), request)
	return ticket, err == nil
}
