package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gopkg.in/yaml.v3"
)

// nodeFile is the part of a node's settings file that the fleet sets itself.
type nodeFile struct {
	Node      nodeSection      `yaml:"node"`
	Listen    listenSection    `yaml:"listen"`
	Platform  platformSection  `yaml:"platform"`
	DataDir   string           `yaml:"data_dir,omitempty"`
	Jobs      jobsSection      `yaml:"jobs"`
	TLS       *tlsSection      `yaml:"tls,omitempty"`
	Bootstrap bootstrapSection `yaml:"bootstrap"`
}

type nodeSection struct {
	ID     string `yaml:"id"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
}

type listenSection struct {
	Caller    string   `yaml:"caller"`
	Admin     string   `yaml:"admin"`
	Peer      string   `yaml:"peer"`
	Advertise string   `yaml:"advertise,omitempty"`
	Seeds     []string `yaml:"seeds"`
}

type platformSection struct {
	KVEndpoints []string `yaml:"kv_endpoints"`
	MachineList string   `yaml:"machine_list"`
	WeightStore string   `yaml:"weight_store"`
}

type jobsSection struct {
	Shards        int `yaml:"shards"`
	Replicas      int `yaml:"replicas"`
	MinimumCopies int `yaml:"minimum_copies"`
}

type tlsSection struct {
	Caller certificateSection `yaml:"caller"`
	Admin  certificateSection `yaml:"admin"`
	Peer   certificateSection `yaml:"peer"`
	Poll   string             `yaml:"poll"`
}

type certificateSection struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca,omitempty"`
}

type bootstrapSection struct {
	AdminKeyDigest string `yaml:"admin_key_digest"`
}

func (f nodeFile) write(path string) error {
	content, err := yaml.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// settingFlags turns further settings into flags, in a stable order.
func settingFlags(settings map[string]string) []string {
	names := make([]string, 0, len(settings))
	for name := range settings {
		names = append(names, name)
	}
	sort.Strings(names)
	flags := make([]string, 0, len(names))
	for _, name := range names {
		flags = append(flags, "--"+name+"="+settings[name])
	}
	return flags
}

func (p Plan) path(parts ...string) string {
	return filepath.Join(append([]string{p.Directory}, parts...)...)
}

func (p Plan) binary(name string) string { return filepath.Join(p.Binaries, name) }

func joined(models []string) string { return strings.Join(models, ",") }
