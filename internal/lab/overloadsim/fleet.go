package overloadsim

import (
	"math"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/lab/load"
	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// Fleet is a simulated fleet.
type Fleet struct {
	options Options
	clock   *virtualtime.Clock
	// random draws the arrivals and links the delays, so that what the nodes do changes no arrival.
	random, links *rand.Rand
	catalog       staticCatalog
	nodes         []*node
	runners       []*runner
	byName        map[ident.Runner]*runner
	made          uint64
	result        Result
}

// staticCatalog is a configuration that never changes.
type staticCatalog struct{ snapshot *catalog.Snapshot }

// Current implements catalog.Source.
func (s staticCatalog) Current() *catalog.Snapshot { return s.snapshot }

// Changed implements catalog.Source.
func (s staticCatalog) Changed(int64) <-chan struct{} { return nil }

// Run simulates the options.
func Run(options Options) Result {
	options = options.withDefaults()
	fleet := newFleet(options)
	fleet.schedule()
	fleet.clock.RunFor(options.Duration + drainTime)
	return fleet.finish()
}

// drainTime lets the requests open at the end of the arrivals finish.
const drainTime = 30 * time.Second

func newFleet(options Options) *Fleet {
	fleet := &Fleet{
		options: options,
		clock:   virtualtime.New(virtualtime.Epoch),
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		links:   rand.New(rand.NewPCG(options.Seed, 0)),
		byName:  map[ident.Runner]*runner{},
		result:  newResult(options),
	}
	fleet.catalog.snapshot = catalog.Empty()
	for _, tenant := range options.Tenants {
		fleet.catalog.snapshot.Tenants[tenant.Name] = tenant.Tenant
	}
	var list machine.List
	for index := range options.Runners {
		engine := enginesim.Options{MaxSequences: options.MaxSequences, MaxWaiting: options.MaxWaiting}
		added := newRunner(index, fleet.clock, fleet.link, engine)
		fleet.runners = append(fleet.runners, added)
		fleet.byName[added.id] = added
		list.Runners = append(list.Runners, machine.Runner{ID: added.id, Zone: options.zone(index), State: machine.Live})
	}
	for index := range options.Nodes {
		fleet.addNode(index, list)
	}
	return fleet
}

func (f *Fleet) addNode(index int, list machine.List) {
	names := make([]ident.Node, f.options.Nodes)
	for other := range names {
		names[other] = nodeName(other)
	}
	added := &node{
		fleet:   f,
		id:      nodeName(index),
		zone:    f.options.zone(index),
		table:   dispatch.NewTable(),
		budget:  dispatch.NewRetryBudget(dispatch.DefaultRetryShare),
		random:  rand.New(rand.NewPCG(f.options.Seed, uint64(index)+2)),
		telling: map[ident.Runner]bool{},
		told:    map[ident.Runner]int{},
	}
	added.admission = admission.New(admission.Config{
		Node:     added.id,
		Catalog:  f.catalog,
		Nodes:    func() []ident.Node { return names },
		Bounds:   f.options.Bounds,
		Capacity: func(string) float64 { return added.table.Capacity(service, nil, f.clock.Now()) },
		Now:      f.clock.Now,
		Random:   added.random.Float64,
	})
	added.table.SetMachines(list, f.clock.Now())
	for _, runner := range f.runners {
		added.table.ObserveReport(runner.id, runner.load(), f.clock.Now())
	}
	added.table.OnOnlineChange(added.countChanged)
	f.nodes = append(f.nodes, added)
}

// schedule plans all arrivals and periodic work.
func (f *Fleet) schedule() {
	for index, node := range f.nodes {
		phase := time.Duration(index) * time.Millisecond
		f.clock.Every(pollEvery/2+phase, pollEvery, node.poll)
		f.clock.Every(renewEvery/2+phase, renewEvery, node.renew)
		f.clock.Every(demandEvery/2+phase, demandEvery, func() { f.exchangeDemand(node) })
	}
	for _, loss := range f.options.Losses {
		lost := f.runners[loss.Runner]
		f.clock.After(loss.At, lost.crash)
		f.clock.After(loss.At+loss.For, lost.restart)
	}
	f.clock.Every(time.Second, time.Second, f.sample)
	f.nextArrival()
}

// exchangeDemand carries a node's demand to the homes of its limits and the sums back.
func (f *Fleet) exchangeDemand(sender *node) {
	for home, report := range sender.admission.Reports() {
		for _, receiver := range f.nodes {
			if receiver.id == home {
				sender.admission.TakeTotals(receiver.admission.HomeReport(report))
			}
		}
	}
}

// arrival is one request of a caller, with all its returns.
type arrival struct {
	at             time.Time
	tenant         ident.Tenant
	node           int
	prompt, answer int
	blocks         []uint64
	returns        int
}

func (a *arrival) request() *inference.Request {
	return &inference.Request{
		Tenant: a.tenant, Service: service, Model: service,
		PromptTokens: a.prompt, MaxTokens: a.answer, PrefixBlocks: a.blocks, Repeatable: true,
	}
}

// nextArrival plans the next arrival: a Poisson process whose rate is the stage's.
func (f *Fleet) nextArrival() {
	rate := 0.0
	for _, stage := range f.options.Stages {
		if f.clock.Elapsed() >= stage.From {
			rate = stage.Rate
		}
	}
	if f.clock.Elapsed() >= f.options.Duration {
		return
	}
	if rate <= 0 {
		f.clock.After(10*time.Millisecond, f.nextArrival)
		return
	}
	f.clock.After(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		f.arrive()
		f.nextArrival()
	})
}

func (f *Fleet) arrive() {
	tenant := f.drawTenant()
	nodes := f.options.Nodes
	if tenant.Nodes > 0 {
		nodes = min(nodes, tenant.Nodes)
	}
	made := &arrival{
		at:     f.clock.Now(),
		tenant: tenant.Name,
		node:   f.random.IntN(nodes),
		prompt: f.length(load.DefaultPromptTokens) + load.DefaultPrefixTokens,
		answer: f.length(load.DefaultAnswerTokens),
		blocks: f.prefix(),
	}
	f.result.offered(made, f.options)
	f.nodes[made.node].receive(made)
}

func (f *Fleet) drawTenant() Tenant {
	drawn := f.random.Float64()
	for _, tenant := range f.options.Tenants {
		if drawn < tenant.Share {
			return tenant
		}
		drawn -= tenant.Share
	}
	return f.options.Tenants[len(f.options.Tenants)-1]
}

// lengthSpread is the standard deviation of the logarithm of lengths, as in the load generator.
const lengthSpread = 0.5

func (f *Fleet) length(median int) int {
	drawn := float64(median) * math.Exp(f.random.NormFloat64()*lengthSpread)
	return max(1, min(int(drawn), 4*median))
}

// prefix draws the blocks of one of the shared prefixes.
func (f *Fleet) prefix() []uint64 {
	first := uint64(f.random.IntN(load.DefaultPrefixes)) << 8
	var blocks []uint64
	for block := range load.DefaultPrefixTokens / enginesim.DefaultBlockTokens {
		blocks = append(blocks, first+uint64(block))
	}
	return blocks
}

// completed books a whole answer.
func (f *Fleet) completed(ended *call) { f.result.completed(ended, f.options) }

// refused books a refusal or failure. A caller that was refused and not run comes back when told to, up to its bound.
func (f *Fleet) refused(ended *call, failed *failure.Error) {
	f.result.refused(ended, failed, f.clock.Now(), f.options)
	made := ended.arrival
	if made.returns >= f.options.Returns || failed.RetryAfter <= 0 {
		return
	}
	made.returns++
	f.clock.After(failed.RetryAfter, func() { f.nodes[made.node].receive(made) })
}

func (f *Fleet) runner(id ident.Runner) *runner { return f.byName[id] }

// owner spreads the runners evenly over the nodes, within zones.
func (f *Fleet) owner(id ident.Runner) *node { return f.nodes[f.byName[id].index%len(f.nodes)] }

func (f *Fleet) nextAttempt() uint64 {
	f.made++
	return f.made
}

// link draws the delay of a message.
func (f *Fleet) link() time.Duration {
	return leastLinkDelay + time.Duration(f.links.ExpFloat64()*float64(meanLinkExcess))
}
