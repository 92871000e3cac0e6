package fleet_test

import (
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
	"mallowlatch.example/mallowlatch/internal/settings"
	"mallowlatch.example/mallowlatch/internal/transport"
)

func laidOut(t *testing.T, plan fleet.Plan) *fleet.Fleet {
	plan.Directory = t.TempDir()
	made, err := fleet.New(plan)
	assert.NilError(t, err)
	return made
}

func settingsOf(t *testing.T, made *fleet.Fleet, node fleet.Node) settings.Settings {
	parsed, err := settings.Load(filepath.Join(made.Plan.Directory, "settings", node.ID+".yaml"), nil)
	assert.NilError(t, err)
	return parsed
}

func TestLinksStandBetweenNodes(t *testing.T) {
	plan := fleet.Small()
	plan.Links = true
	made := laidOut(t, plan)
	links := map[settings.Address]bool{}
	for _, node := range made.Nodes {
		links[settings.Address(node.Link.Address)] = true
	}
	for _, node := range made.Nodes {
		parsed := settingsOf(t, made, node)
		assert.Equal(t, string(parsed.AdvertiseAddress()), node.Link.Address)
		assert.Equal(t, string(parsed.Listen.Peer), node.Peer)
		for _, seed := range parsed.Listen.Seeds {
			assert.Assert(t, links[seed], "seed %s is not a link", seed)
		}
	}
	assert.Equal(t, len(links), len(made.Nodes))
}

// Every link is cut for the nodes on the other side of the border, and for no others; the key-value service if asked.
func TestBorderIsEveryWayBetweenZones(t *testing.T) {
	plan := fleet.Small()
	plan.Links = true
	made := laidOut(t, plan)
	count := len(made.Nodes) + len(made.Engines)
	assert.Equal(t, len(made.Border("north", false)), count)
	crossings := made.Border("north", true)
	assert.Equal(t, len(crossings), count+1)
	zones := map[string]string{made.KVLink.Address: "south"}
	for _, node := range made.Nodes {
		zones[node.Link.Address] = node.Zone
	}
	for _, engine := range made.Engines {
		zones[engine.Link.Address] = engine.Zone
	}
	assert.Equal(t, len(zones), count+1)
	for _, crossing := range crossings {
		assert.Equal(t, len(crossing.Senders), 2)
		for _, sender := range crossing.Senders {
			assert.Assert(t, sender.Zone != zones[crossing.Link.Address])
		}
		delete(zones, crossing.Link.Address)
	}
	assert.Equal(t, len(zones), 0)
}

func TestFleetIsPlainByDefault(t *testing.T) {
	made := laidOut(t, fleet.Small())
	for _, node := range made.Nodes {
		assert.Assert(t, node.Link == nil)
		parsed := settingsOf(t, made, node)
		assert.Equal(t, parsed.Listen.Advertise, settings.Address(""))
		assert.Assert(t, !parsed.TLS.Peer.Enabled() && !parsed.TLS.Caller.Enabled() && !parsed.TLS.Admin.Enabled())
	}
}

func TestCertificatesCanBeLoadedByEveryNode(t *testing.T) {
	plan := fleet.Small()
	plan.TLS = true
	made := laidOut(t, plan)
	for _, node := range made.Nodes {
		listeners := settingsOf(t, made, node).TLS
		assert.Assert(t, listeners.Caller.Enabled() && listeners.Admin.Enabled())
		_, err := transport.LoadCredentials(transport.Files{
			Certificate: string(listeners.Peer.Cert),
			Key:         string(listeners.Peer.Key),
			Authority:   string(listeners.Peer.CA),
		}, zerolog.Nop())
		assert.NilError(t, err)
	}
}
