package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"mallowlatch.example/mallowlatch/internal/admin"
	"mallowlatch.example/mallowlatch/internal/admission"
	"mallowlatch.example/mallowlatch/internal/admission/admissionpb"
	"mallowlatch.example/mallowlatch/internal/batch"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/dispatch/exchange"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/etcdhttp"
	"mallowlatch.example/mallowlatch/internal/machine/httplist"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/placement/placementpb"
	"mallowlatch.example/mallowlatch/internal/policy/live"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/shardmap"
	"mallowlatch.example/mallowlatch/internal/transport"
)

const machineListPath = "/machines"

func (n *Node) assemblePeers() error {
	if err := n.loadCredentials(); err != nil {
		return err
	}
	metrics := transport.NewMetrics(n.registry)
	n.members = membership.NewService(membership.Options{
		Config:     membershipConfig(n.settings.Membership),
		Self:       n.self(),
		Seeds:      texts(n.settings.Listen.Seeds),
		Random:     newRandom(),
		Registerer: n.registry,
		Logger:     n.logger,
	})
	n.peers = peers{self: n.id(), members: n.members}
	n.pool = transport.NewPool(transport.PoolOptions{
		Lookup:      n.members.Address,
		Credentials: n.credentials,
		Metrics:     metrics,
		Jitter:      rand.Float64,
	})
	n.peerServer = transport.NewServer(transport.ServerOptions{
		Credentials: n.credentials,
		Metrics:     metrics,
		Logger:      n.logger,
	})
	return nil
}

func (n *Node) loadCredentials() error {
	certificate := n.settings.TLS.Peer
	if !certificate.Enabled() {
		return nil
	}
	files := transport.Files{
		Certificate: string(certificate.Cert),
		Key:         string(certificate.Key),
		Authority:   string(certificate.CA),
	}
	credentials, err := transport.LoadCredentials(files, n.logger)
	if err != nil {
		return fmt.Errorf("peer certificates: %w", err)
	}
	n.credentials = credentials
	return nil
}

func (n *Node) self() membership.Self {
	return membership.Self{
		Node:          n.id(),
		Zone:          n.zone(),
		Region:        ident.Region(n.settings.Node.Region),
		PeerAddress:   string(n.settings.AdvertiseAddress()),
		CallerAddress: string(n.settings.Listen.Caller),
		Started:       time.Now(),
		Attributes:    membership.Attributes{HasDisk: n.settings.DataDir != ""},
	}
}

func membershipConfig(from settings.Membership) membership.Config {
	config := membership.DefaultConfig()
	config.ProbePeriod = from.ProbeInterval
	config.DirectTimeout = from.ProbeTimeout
	config.SuspicionTimeout = from.SuspectTimeout
	config.IndirectProbes = from.IndirectProbes
	config.BridgePeriod = from.DigestInterval
	return config
}

// newKeyValueStore returns the client of the key-value service, by TLS where the settings name a certificate for it.
func (n *Node) newKeyValueStore() (kv.Store, error) {
	scheme := "http://"
	options := []etcdhttp.Option{
		etcdhttp.WithCallTimeout(n.settings.Platform.KVTimeout),
		etcdhttp.WithClientName(string(n.id())),
	}
	if n.settings.TLS.KeyValue.Enabled() {
		reloader, err := n.newReloader(n.settings.TLS.KeyValue)
		if err != nil {
			return nil, fmt.Errorf("key-value service: %w", err)
		}
		scheme = "https://"
		options = append(options, etcdhttp.WithTLS(reloader.ClientConfig))
	}
	endpoints := make([]string, len(n.settings.Platform.KVEndpoints))
	for index, address := range n.settings.Platform.KVEndpoints {
		endpoints[index] = scheme + string(address)
	}
	store, err := etcdhttp.New(endpoints, options...)
	if err != nil {
		return nil, fmt.Errorf("key-value service: %w", err)
	}
	return store, nil
}

func (n *Node) assembleConfiguration() error {
	store, err := n.newKeyValueStore()
	if err != nil {
		return err
	}
	n.kv = store
	n.replica, err = confsync.NewReplica(confsync.Options{
		Self:       confsync.Peer{Node: n.id(), Zone: n.zone()},
		Store:      store,
		Peers:      n.peers,
		Dialer:     n.pool,
		Decode:     admin.NewDecode(n.logger),
		DataDir:    string(n.settings.DataDir),
		Logger:     n.logger,
		Registerer: n.registry,
		Seed:       rand.Uint64(),
	})
	if err != nil {
		return fmt.Errorf("configuration replica: %w", err)
	}
	n.writer = confsync.NewWriter(store, n.replica)
	return nil
}

func (n *Node) assembleStorage() error {
	options := jobclient.Options{Self: n.id(), Dialer: n.pool, Logger: n.logger}
	var leaders leaderLookup
	if n.settings.DataDir == "" {
		n.routes = n.newRoutes()
		leaders = n.routes
		options.Missed = n.routes.Missed
	} else {
		opened, err := openStorage(storageOptions{
			settings:   n.settings,
			kv:         n.kv,
			dialer:     n.pool,
			peers:      n.peers,
			peer:       n.peerNames(),
			repeatable: n.repeatable,
			quota:      n.jobQuota,
			logger:     n.logger,
			registerer: n.registry,
		})
		if err != nil {
			return err
		}
		n.storage = opened
		leaders = opened.host.Directory()
		options.Local = opened.registry
	}
	options.Directory = shardDirectory{shards: n.settings.Jobs.Shards, leaders: leaders}
	n.jobs = jobclient.New(options)
	return nil
}

// newRoutes returns the client by which a node without a disk learns where the shards are. Such a node does not watch the
// replica sets: the key-value service could not carry a watch by every node.
func (n *Node) newRoutes() *shardmap.Client {
	return shardmap.NewClient(shardmap.Options{
		Self:       n.id(),
		Zone:       n.zone(),
		Peers:      n.peers.routePeers,
		Dialer:     n.pool,
		Jitter:     rand.Float64,
		Logger:     n.logger,
		Registerer: n.registry,
	})
}

// peerNames returns how to name the node behind a call, or nil if peers do not authenticate.
func (n *Node) peerNames() func(context.Context) (ident.Node, bool) {
	if n.credentials == nil {
		return nil
	}
	return transport.Peer
}

// repeatable is the default of a service for items that do not say.
func (n *Node) repeatable(service string) bool {
	found, known := n.replica.Current().Services[service]
	return !known || found.Repeatable
}

// jobQuota returns what a tenant's batch files and jobs may take.
func (n *Node) jobQuota(tenant ident.Tenant) jobstore.Quota {
	found := n.replica.Current().Tenants[tenant]
	return jobstore.Quota{
		MaxJobs:   found.MaxJobs,
		MaxBytes:  found.MaxJobBytes,
		Retention: time.Duration(found.JobRetentionHours * float64(time.Hour)),
	}
}

// assemblePolicies prepares what the policies in force decide on this node.
func (n *Node) assemblePolicies() error {
	n.policies = live.New(n.replica, n.logger, time.Now)
	n.cutOff = &cutOffWatch{
		zone:     n.zone(),
		region:   ident.Region(n.settings.Node.Region),
		view:     n.members.View,
		policies: n.policies,
	}
	n.demandMeter = newDemandMeter(time.Now)
	return nil
}

func (n *Node) assembleOnline() error {
	n.engines = newEngineDirectory()
	n.table = dispatch.NewTable()
	n.table.SetAffinity(dispatch.Affinity(n.settings.Dispatch.PrefixAffinity))
	n.owners = ownership.NewService(ownership.Options{
		Self:     n.id(),
		Members:  currentMembers(n.members),
		Runners:  ownedRunners(n.table),
		Engine:   n.engines.Engine,
		Distance: zoneDistance(n.replica),
		Logger:   n.logger,
	})
	n.poller = &machinePoller{
		lister:  httplist.New("http://"+string(n.settings.Platform.MachineList)+machineListPath, nil),
		period:  n.settings.Platform.MachinePoll,
		engines: n.engines,
		table:   n.table,
		logger:  n.logger,
	}
	n.exchange = n.newExchange()
	n.admission = n.newAdmission()
	n.demand = admission.NewExchange(n.admission, n.pool)
	n.dispatcher = n.newDispatcher()
	return nil
}

// newExchange returns what tells the owners of runners of this node's online work.
func (n *Node) newExchange() *exchange.Exchange {
	return exchange.New(exchange.Config{
		Node:       n.id(),
		Zone:       n.zone(),
		Table:      n.table,
		Engines:    n.engines,
		Peers:      runnerPeers{peers: n.peers, owners: n.owners},
		Dialer:     n.pool,
		Intervals:  exchange.Intervals{PollOwned: n.settings.Dispatch.LoadReportEvery},
		Logger:     n.logger,
		Registerer: n.registry,
	})
}

// newAdmission returns what lets online requests onto the runners.
func (n *Node) newAdmission() *admission.Controller {
	return admission.New(admission.Config{
		Node:    n.id(),
		Catalog: n.replica,
		Nodes:   n.peers.nodes,
		Bounds: admission.Bounds{
			Waiters: n.settings.Dispatch.QueueDepth,
			Wait:    n.settings.Dispatch.QueueTimeout,
		},
		Capacity: n.serviceCapacity,
		MayWait: func(request *inference.Request, prospect admission.Wait) bool {
			return n.policies.MayWait(policyRequest(request, prospect))
		},
		Registerer: n.registry,
	})
}

// newDispatcher returns what sends online requests to engines.
func (n *Node) newDispatcher() *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Node:    n.id(),
		Zone:    n.zone(),
		Table:   n.table,
		Engines: n.engines,
		Catalog: n.replica,
		Ledger:  n.jobs,
		Limits: dispatch.Limits{
			FirstChunk: n.settings.Dispatch.AttemptTimeout,
			Stall:      n.settings.Dispatch.StallTimeout,
			Attempts:   n.settings.Dispatch.MaxAttempts,
			RetryShare: n.settings.Dispatch.RetryBudget,
		},
		FirstToken: func(request *inference.Request, took time.Duration) {
			n.admission.ObserveFirstToken(request.Service, took)
		},
		Logger:     n.logger,
		Registerer: n.registry,
	})
}

func (n *Node) assembleBatch() error {
	order := &jobOrder{source: n.replica, policies: n.policies, cutOff: n.cutOff, running: n.runningByTenant}
	n.worker = batch.New(batch.Config{
		Node:      n.id(),
		Table:     n.table,
		Engines:   n.engines,
		Catalog:   n.replica,
		Ownership: batchClaims{service: n.owners},
		Work:      n.jobs,
		Order:     order.order,

		ShareBesideOnline: n.settings.Batch.ShareBesideOnline,

		Logger:     n.logger,
		Registerer: n.registry,
	})
	return nil
}

// runningByTenant counts the batch items that run now on this node's runners.
func (n *Node) runningByTenant() map[ident.Tenant]int { return n.worker.RunningByTenant() }

// register adds the parts' calls to the peer listener.
func (n *Node) register() error {
	steps := []func() error{
		func() error { return membershippb.DRPCRegisterMembership(n.peerServer, n.members) },
		func() error { return n.replica.Register(n.peerServer) },
		func() error { return dispatchpb.DRPCRegisterRunnerExchange(n.peerServer, n.exchange) },
		func() error { return admissionpb.DRPCRegisterDemandHome(n.peerServer, n.demand) },
	}
	if n.placementAgent != nil {
		steps = append(steps, func() error { return placementpb.DRPCRegisterPlacement(n.peerServer, n.placementAgent) })
	}
	if n.storage != nil {
		steps = append(steps, func() error { return n.storage.Register(n.peerServer) })
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return fmt.Errorf("register calls: %w", err)
		}
	}
	return nil
}

func (n *Node) listen() error {
	address := n.settings.Listen.Peer
	opened, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	n.peerListener = opened
	return nil
}

func texts(addresses []settings.Address) []string {
	plain := make([]string, len(addresses))
	for index, address := range addresses {
		plain[index] = string(address)
	}
	return plain
}
