package catalog

import (
	"regexp"
	"strings"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Bounds of field values.
const (
	maxNameLength     = 128
	maxRate           = 1e9
	maxWeight         = 1e6
	maxInFlight       = 1_000_000
	maxJobs           = 1_000_000
	maxJobBytes       = 1 << 50
	maxRetentionHours = 8760
	maxAnswerTokens   = 1 << 20
	maxCopies         = 10_000
	maxMemoryBytes    = int64(1) << 46
	maxDistance       = 10_000.0
	maxListEntries    = 10_000
	maxProgramBytes   = 4 << 10
	maxReasonBytes    = 1 << 10
	digestHexLength   = 64
	defaultWeight     = 1
	defaultMaxTokens  = 1024
	drainRunnerPrefix = "runner/"
	drainNodePrefix   = "node/"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// A machine may be named by its address, so colons are allowed in a drain.
var machinePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:-]*[A-Za-z0-9])?$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]+$`)

func (l *problemList) checkName(field, name string) {
	if name == "" {
		l.add(field, "must not be empty")
		return
	}
	if len(name) > maxNameLength {
		l.add(field, "is %d characters long; at most %d are allowed", len(name), maxNameLength)
		return
	}
	if !namePattern.MatchString(name) {
		l.add(field, "%q must consist of letters, digits, '.', '_' and '-', and begin and end with a letter or digit", name)
	}
}

func (l *problemList) checkRange(field string, value, least, most float64) {
	if !(value >= least && value <= most) {
		l.add(field, "is %g; it must be from %g to %g", value, least, most)
	}
}

func (l *problemList) checkText(field, text string, most int) {
	if len(text) > most {
		l.add(field, "is %d bytes long; at most %d are allowed", len(text), most)
	}
}

// checkNames checks a list of names and that none stands twice.
func checkNames[N ~string](l *problemList, field string, names []N) {
	if len(names) > maxListEntries {
		l.add(field, "has %d entries; at most %d are allowed", len(names), maxListEntries)
		return
	}
	seen := make(map[N]bool, len(names))
	for _, name := range names {
		l.checkName(field, string(name))
		if seen[name] {
			l.add(field, "names %q twice", name)
		}
		seen[name] = true
	}
}

func (t *Tenant) kind() Kind                { return KindTenant }
func (t *Tenant) name() string              { return string(t.Name) }
func (t *Tenant) setName(name string)       { t.Name = ident.Tenant(name) }
func (t *Tenant) insert(snapshot *Snapshot) { snapshot.Tenants[t.Name] = *t }

func (t *Tenant) applyDefaults() {
	if t.Weight == 0 {
		t.Weight = defaultWeight
	}
}

func (t *Tenant) validate(problems *problemList) {
	problems.checkName("name", string(t.Name))
	problems.checkRange("weight", t.Weight, 0, maxWeight)
	problems.checkRange("requests_per_second", t.RequestsPerSecond, 0, maxRate)
	problems.checkRange("burst", t.Burst, 0, maxRate)
	problems.checkRange("tokens_per_second", t.TokensPerSecond, 0, maxRate)
	problems.checkRange("max_in_flight", float64(t.MaxInFlight), 0, maxInFlight)
	problems.checkRange("max_jobs", float64(t.MaxJobs), 0, maxJobs)
	problems.checkRange("max_job_bytes", float64(t.MaxJobBytes), 0, maxJobBytes)
	problems.checkRange("job_retention_hours", t.JobRetentionHours, 0, maxRetentionHours)
}

func (k *Key) kind() Kind                { return KindKey }
func (k *Key) name() string              { return k.ID }
func (k *Key) setName(name string)       { k.ID = name }
func (k *Key) insert(snapshot *Snapshot) { snapshot.Keys[k.Digest] = *k }
func (k *Key) applyDefaults()            {}

func (k *Key) validate(problems *problemList) {
	problems.checkName("id", k.ID)
	switch k.Role {
	case RoleCaller:
		problems.checkName("tenant", string(k.Tenant))
	case RoleViewer, RoleOperator, RoleAdmin:
		if k.Tenant != "" {
			problems.checkName("tenant", string(k.Tenant))
		}
	default:
		problems.add("role", "is %q; it must be caller, viewer, operator or admin", k.Role)
	}
	if len(k.Digest) != digestHexLength || !digestPattern.MatchString(k.Digest) {
		problems.add("digest", "must be the SHA-256 of the secret in %d lower-case hexadecimal digits", digestHexLength)
	}
}

func (s *Service) kind() Kind                { return KindService }
func (s *Service) name() string              { return s.Name }
func (s *Service) setName(name string)       { s.Name = name }
func (s *Service) insert(snapshot *Snapshot) { snapshot.Services[s.Name] = *s }

func (s *Service) applyDefaults() {
	if s.MaxTokens == 0 {
		s.MaxTokens = defaultMaxTokens
	}
}

func (s *Service) validate(problems *problemList) {
	problems.checkName("name", s.Name)
	problems.checkName("model", s.Model)
	if s.Adapter != "" {
		problems.checkName("adapter", s.Adapter)
	}
	if s.Policy != "" {
		problems.checkName("policy", s.Policy)
	}
	checkNames(problems, "tenants", s.Tenants)
	checkNames(problems, "zones", s.Zones)
	problems.checkRange("max_tokens", float64(s.MaxTokens), 1, maxAnswerTokens)
	problems.checkRange("requests_per_second", s.RequestsPerSecond, 0, maxRate)
	problems.checkRange("min_copies", float64(s.MinCopies), 0, maxCopies)
}

func (m *Model) kind() Kind                { return KindModel }
func (m *Model) name() string              { return m.Name }
func (m *Model) setName(name string)       { m.Name = name }
func (m *Model) insert(snapshot *Snapshot) { snapshot.Models[m.Name] = *m }
func (m *Model) applyDefaults()            {}

func (m *Model) validate(problems *problemList) {
	problems.checkName("name", m.Name)
	problems.checkName("version", m.Version)
	problems.checkRange("memory_bytes", float64(m.MemoryBytes), 0, float64(maxMemoryBytes))
}

func (a *Adapter) kind() Kind                { return KindAdapter }
func (a *Adapter) name() string              { return a.Name }
func (a *Adapter) setName(name string)       { a.Name = name }
func (a *Adapter) insert(snapshot *Snapshot) { snapshot.Adapters[a.Name] = *a }
func (a *Adapter) applyDefaults()            {}

func (a *Adapter) validate(problems *problemList) {
	problems.checkName("name", a.Name)
	problems.checkName("model", a.Model)
	problems.checkName("version", a.Version)
}

func (p *Policy) kind() Kind                { return KindPolicy }
func (p *Policy) name() string              { return p.Name }
func (p *Policy) setName(name string)       { p.Name = name }
func (p *Policy) insert(snapshot *Snapshot) { snapshot.Policies[p.Name] = *p }
func (p *Policy) applyDefaults()            {}

// validate checks the outer form; package policy checks the programs.
func (p *Policy) validate(problems *problemList) {
	problems.checkName("name", p.Name)
	problems.checkText("priority", p.Priority, maxProgramBytes)
	problems.checkText("may_wait", p.MayWait, maxProgramBytes)
	problems.checkText("when_cut_off", p.WhenCutOff, maxProgramBytes)
}

func (z *Zone) kind() Kind                { return KindZone }
func (z *Zone) name() string              { return string(z.Name) }
func (z *Zone) setName(name string)       { z.Name = ident.Zone(name) }
func (z *Zone) insert(snapshot *Snapshot) { snapshot.Zones[z.Name] = *z }
func (z *Zone) applyDefaults()            {}

func (z *Zone) validate(problems *problemList) {
	problems.checkName("name", string(z.Name))
	problems.checkName("region", string(z.Region))
	for _, other := range sortedKeys(z.Distance) {
		problems.checkRange("distance."+other, z.Distance[ident.Zone(other)], 0, maxDistance)
	}
}

func (d *Drain) kind() Kind                { return KindDrain }
func (d *Drain) name() string              { return d.Name }
func (d *Drain) setName(name string)       { d.Name = name }
func (d *Drain) insert(snapshot *Snapshot) { snapshot.Drains[d.Name] = *d }
func (d *Drain) applyDefaults()            {}

func (d *Drain) validate(problems *problemList) {
	machine, isRunner := strings.CutPrefix(d.Name, drainRunnerPrefix)
	machine, isNode := strings.CutPrefix(machine, drainNodePrefix)
	named := isRunner != isNode && len(machine) <= maxNameLength && machinePattern.MatchString(machine)
	if !named {
		problems.add("name", "%q must be runner/ID or node/ID", d.Name)
	}
	problems.checkText("reason", d.Reason, maxReasonBytes)
}
