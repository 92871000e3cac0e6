package follower

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// logChange logs the changes of a list. unread is the time since the list before it. The caller holds the mutex.
func (f *Follower) logChange(change runnertable.Change, listed int, unread time.Duration) {
	if len(change.Added)+len(change.Removed) > 0 {
		event.RunnersChanged.Log(f.Logger).Int("added", len(change.Added)).Int("removed", len(change.Removed)).Int("listed", listed).
			Dur("used_missing_ms", change.LongestMissing).Send()
	}
	if kept := len(change.Retained); kept != f.kept && kept > 0 {
		event.RunnersKept.Log(f.Logger).Int("kept", len(change.Retained)).Int("listed", listed).Dur("unread_ms", unread).Send()
	}
	f.kept = len(change.Retained)
}

// maxLoggedRunners bounds the runners that a log line names.
const maxLoggedRunners = 8

// logLeaving logs that the newest list, of an age, is the first that names runners as leaving. The caller holds the mutex.
func (f *Follower) logLeaving(leaving []ident.Incarnation, age time.Duration) {
	if len(leaving) == 0 {
		return
	}
	named := make([]string, 0, maxLoggedRunners)
	for _, id := range leaving[:min(len(leaving), maxLoggedRunners)] {
		named = append(named, string(id))
	}
	event.RunnersLeaving.Log(f.Logger).Int("leaving", len(leaving)).Strs("runners", named).Int64("revision", f.revision).
		Dur("age_ms", age).Send()
}

// maxLoggedKeys bounds the added and the removed keys that a log line lists.
const maxLoggedKeys = 8

// logKeyChange logs which keys were added and removed.
func (f *Follower) logKeyChange(change routetable.KeyChange) {
	if len(change.Added)+len(change.Removed) == 0 {
		return
	}
	event.KeysChanged.Log(f.Logger).Int("added", len(change.Added)).Int("removed", len(change.Removed)).
		Strs("added_hashes", shortened(change.Added)).Strs("removed_hashes", shortened(change.Removed)).Send()
}

func shortened(keys []keyhash.Digest) []string {
	short := make([]string, 0, min(len(keys), maxLoggedKeys))
	for _, key := range keys[:min(len(keys), maxLoggedKeys)] {
		short = append(short, key.Short())
	}
	return short
}
