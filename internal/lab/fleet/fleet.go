package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrUnknownPlan means no plan has the name.
const ErrUnknownPlan = failure.Kind("fleet: unknown plan")

const (
	defaultBasePort = 21000
	loopback        = "127.0.0.1"
	defaultModel    = "base"
)

// Node is a node of the fleet and its addresses.
type Node struct {
	*Process
	ID, Zone            string
	Caller, Admin, Peer string
	// Link is what other nodes reach the peer listener through; nil without links.
	Link *StandIn
	// DataDirectory is empty for a node without a disk.
	DataDirectory string
}

// Engine is a stand-in engine of the fleet and its addresses.
type Engine struct {
	*Process
	ID, Zone       string
	Address, Fault string
	// Link is what nodes reach the engine through; nil without links.
	Link *StandIn
}

// StandIn is a stand-in for one of the platform's services.
type StandIn struct {
	*Process
	Address, Fault string
}

// Fleet is a set of processes on loopback.
type Fleet struct {
	Plan Plan
	KV   StandIn
	// KVLink is what nodes reach the key-value service through; nil without links.
	KVLink   *StandIn
	Machines StandIn
	Weights  StandIn
	Engines  []Engine
	Nodes    []Node
	// Certificates is nil without TLS.
	Certificates *Certificates

	client   *http.Client
	nextPort int
}

// New lays out a fleet: it writes the settings files and makes the folders, and starts nothing.
func New(plan Plan) (*Fleet, error) {
	plan = withDefaults(plan)
	for _, directory := range []string{plan.path("logs"), plan.path("settings"), plan.path("data")} {
		if err := os.MkdirAll(directory, 0o755); err != nil {
			return nil, fmt.Errorf("make folder: %w", err)
		}
	}
	fleet := &Fleet{Plan: plan, nextPort: plan.BasePort}
	if plan.TLS {
		certificates, err := newCertificates()
		if err != nil {
			return nil, err
		}
		fleet.Certificates = certificates
	}
	fleet.client = newClient(fleet.Certificates)
	fleet.layOutEngines()
	fleet.layOutStandIns()
	if err := fleet.layOutNodes(); err != nil {
		return nil, err
	}
	return fleet, nil
}

func withDefaults(plan Plan) Plan {
	if plan.BasePort == 0 {
		plan.BasePort = defaultBasePort
	}
	if len(plan.Models) == 0 {
		plan.Models = []string{defaultModel}
	}
	return plan
}

func (f *Fleet) address() string {
	port := f.nextPort
	f.nextPort++
	return fmt.Sprintf("%s:%d", loopback, port)
}

func (f *Fleet) process(name, binary, readyAddress, readyPath string, arguments []string) *Process {
	readyURL := "http://" + readyAddress + readyPath
	return newProcess(name, f.Plan.binary(binary), arguments, f.Plan.path("logs"), readyURL, http.DefaultClient)
}

func (f *Fleet) layOutEngines() {
	for _, zone := range f.Plan.Zones {
		for number := range zone.Runners {
			f.Engines = append(f.Engines, f.newEngine(zone, number))
		}
	}
}

func (f *Fleet) newEngine(zone Zone, number int) Engine {
	id := fmt.Sprintf("%s-runner-%d", zone.Name, number+1)
	address, fault := f.address(), f.address()
	arguments := []string{
		"engine", "--listen", address, "--fault-listen", fault,
		"--runner", id, "--zone", zone.Name, "--model", joined(f.Plan.Models),
	}
	arguments = append(arguments, f.Plan.EngineArguments...)
	process := f.process(id, "mallowlatch-lab", address, "/healthz", arguments)
	engine := Engine{Process: process, ID: id, Zone: zone.Name, Address: address, Fault: fault}
	if f.Plan.Links {
		engine.Link = f.newLink(id, address)
	}
	return engine
}

func (f *Fleet) layOutStandIns() {
	f.KV = f.newStandIn("kv", f.Plan.KVArguments)
	if f.Plan.Links {
		f.KVLink = f.newLink("kv", f.KV.Address)
	}
	f.Weights = f.newStandIn("weights", f.weightArguments())
	f.Machines = f.newStandIn("machines", f.machineArguments())
}

func (f *Fleet) newStandIn(name string, further []string) StandIn {
	address, fault := f.address(), f.address()
	arguments := append([]string{name, "--listen", address, "--fault-listen", fault}, further...)
	process := f.process(name, "mallowlatch-lab", fault, "/", arguments)
	return StandIn{Process: process, Address: address, Fault: fault}
}

func (f *Fleet) weightArguments() []string {
	const modelBytes = 1 << 30
	var arguments []string
	for _, model := range f.Plan.Models {
		arguments = append(arguments, "--artifact", fmt.Sprintf("%s@1=%d", model, modelBytes))
	}
	return arguments
}

func (f *Fleet) machineArguments() []string {
	arguments := []string{"--lag", f.Plan.MachineListLag.String()}
	for _, engine := range f.Engines {
		arguments = append(arguments, "--runner", fmt.Sprintf("%s=%s@%s", engine.ID, engine.Zone, engine.Link.or(engine.Address)))
	}
	return arguments
}

func (f *Fleet) layOutNodes() error {
	for _, zone := range f.Plan.Zones {
		for number := range zone.Nodes {
			f.Nodes = append(f.Nodes, f.newNode(zone, number))
		}
	}
	for index := range f.Nodes {
		if err := f.writeSettings(&f.Nodes[index]); err != nil {
			return err
		}
	}
	return f.writeCertificates()
}

func (f *Fleet) newNode(zone Zone, number int) Node {
	id := fmt.Sprintf("%s-node-%d", zone.Name, number+1)
	node := Node{ID: id, Zone: zone.Name, Caller: f.address(), Admin: f.address(), Peer: f.address()}
	if number < zone.DiskNodes {
		node.DataDirectory = f.Plan.path("data", id)
	}
	arguments := []string{"node", "--config", f.Plan.path("settings", id+".yaml")}
	arguments = append(arguments, settingFlags(f.Plan.NodeSettings)...)
	readyURL := f.AdminURL(node) + "/readyz"
	node.Process = newProcess(id, f.Plan.binary("mallowlatch"), arguments, f.Plan.path("logs"), readyURL, f.client)
	if f.Plan.Links {
		node.Link = f.newLink(id, node.Peer)
	}
	return node
}

// newLink lays out the link in front of a listener.
func (f *Fleet) newLink(id, target string) *StandIn {
	address, fault := f.address(), f.address()
	arguments := []string{"link", "--listen", address, "--target", target, "--fault-listen", fault}
	process := f.process(id+"-link", "mallowlatch-lab", fault, "/", arguments)
	return &StandIn{Process: process, Address: address, Fault: fault}
}

// or returns the link's address, or the given one without a link.
func (s *StandIn) or(address string) string {
	if s == nil {
		return address
	}
	return s.Address
}

// reached returns the address that other nodes reach the node at.
func (n Node) reached() string { return n.Link.or(n.Peer) }

func (f *Fleet) writeSettings(node *Node) error {
	digest := sha256.Sum256([]byte(f.Plan.AdminKey))
	file := nodeFile{
		Node: nodeSection{ID: node.ID, Zone: node.Zone, Region: f.regionOf(node.Zone)},
		Listen: listenSection{
			Caller:    node.Caller,
			Admin:     node.Admin,
			Peer:      node.Peer,
			Advertise: node.Link.or(""),
			Seeds:     f.seeds(),
		},
		Platform: platformSection{
			KVEndpoints: []string{f.KVLink.or(f.KV.Address)},
			MachineList: f.Machines.Address,
			WeightStore: f.Weights.Address,
		},
		DataDir: node.DataDirectory,
		Jobs: jobsSection{
			Shards:        f.Plan.Shards,
			Replicas:      f.Plan.Replicas,
			MinimumCopies: f.Plan.MinimumCopies,
		},
		TLS:       f.tlsSettings(node.ID),
		Bootstrap: bootstrapSection{AdminKeyDigest: hex.EncodeToString(digest[:])},
	}
	return file.write(f.Plan.path("settings", node.ID+".yaml"))
}

// seeds returns one node of each zone: enough to join through when any one zone is up.
func (f *Fleet) seeds() []string {
	var seeds []string
	seen := map[string]bool{}
	for _, node := range f.Nodes {
		if seen[node.Zone] {
			continue
		}
		seen[node.Zone] = true
		seeds = append(seeds, node.reached())
	}
	return seeds
}

func (f *Fleet) regionOf(zoneName string) string {
	for _, zone := range f.Plan.Zones {
		if zone.Name == zoneName {
			return zone.Region
		}
	}
	return ""
}

// Processes returns every process in the order in which they are started.
func (f *Fleet) Processes() []*Process {
	processes := []*Process{f.KV.Process, f.Weights.Process, f.Machines.Process}
	for _, engine := range f.Engines {
		processes = append(processes, engine.Process)
	}
	for _, link := range f.links() {
		processes = append(processes, link.Process)
	}
	for _, node := range f.Nodes {
		processes = append(processes, node.Process)
	}
	return processes
}

// Start starts every process and waits until all are ready.
func (f *Fleet) Start(ctx context.Context) error {
	for _, process := range f.Processes() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	for _, process := range f.Processes() {
		if err := process.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends every process: the nodes first, all at once, and then what they depend on. It returns every error.
func (f *Fleet) Stop() error {
	nodes := make([]*Process, len(f.Nodes))
	for index, node := range f.Nodes {
		nodes[index] = node.Process
	}
	return errors.Join(stopAll(nodes), stopAll(f.Processes()))
}

func stopAll(processes []*Process) error {
	results := make([]error, len(processes))
	var stopping sync.WaitGroup
	for index, process := range processes {
		stopping.Go(func() { results[index] = process.Stop() })
	}
	stopping.Wait()
	return errors.Join(results...)
}
