package runnertable

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

// versionMemory is how long a software version is remembered after its last runner was removed. It is longer than a caller waits for a
// stream, so that a version that began any stream still in progress is remembered.
const versionMemory = time.Minute

// versionUse is what is known of one software version of a service.
type versionUse struct {
	// listed is the number of runners in the table; gone is when it last fell to zero.
	listed int
	gone   time.Time
}

// countVersion records that the number of runners of a version changed. The caller holds the mutex.
func (t *Table) countVersion(runner work.Runner, change int, now time.Time) {
	use := t.versionUse(runner.Service, runner.Version)
	use.listed += change
	if use.listed == 0 {
		use.gone = now
	}
}

// versionUse returns the entry of a version and creates it if it is missing, which it signals. The caller holds the mutex.
func (t *Table) versionUse(service string, version work.Version) *versionUse {
	versions := t.versions[service]
	if versions == nil {
		versions = map[work.Version]*versionUse{}
		t.versions[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &versionUse{}
		select {
		case t.newVersion <- struct{}{}:
		default:
		}
	}
	return versions[version]
}

// NewVersion returns a channel that is signalled when a service has runners of a version that was not remembered. It has one reader.
func (t *Table) NewVersion() <-chan struct{} { return t.newVersion }

// Versions returns the software versions of the runners that a service has or had within versionMemory, sorted. The empty version stands
// for runners whose version is unknown.
func (t *Table) Versions(service string, now time.Time) []work.Version {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.versionsOf(service, now)
}

// AllVersions returns the Versions of all services that have any.
func (t *Table) AllVersions(now time.Time) map[string][]work.Version {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := map[string][]work.Version{}
	for service := range t.versions {
		if versions := t.versionsOf(service, now); len(versions) > 0 {
			all[service] = versions
		}
	}
	return all
}

// RememberVersions adds versions that services are known to have had until now.
func (t *Table) RememberVersions(versions map[string][]work.Version, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for service, known := range versions {
		for _, version := range known {
			if use := t.versionUse(service, version); use.listed == 0 {
				use.gone = now
			}
		}
	}
}

// versionsOf returns the remembered versions of a service, and forgets the others. The caller holds the mutex.
func (t *Table) versionsOf(service string, now time.Time) []work.Version {
	var versions []work.Version
	for version, use := range t.versions[service] {
		if use.listed == 0 && now.Sub(use.gone) > versionMemory {
			delete(t.versions[service], version)
			continue
		}
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

// NamesRecur reports whether runners of a service are started again under their names: their entries tell when they started.
func (t *Table) NamesRecur(service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entries := t.services[service]
	if len(entries) == 0 {
		return false
	}
	_, hasStart := entries[0].runner.ID.Started()
	return hasStart
}
