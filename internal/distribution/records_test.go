package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// platformChange is one write or deletion; version is its position in the history, from 1.
type platformChange struct {
	name    string
	version int64
	deleted bool
}

// collectionAt returns the content of the collection at a version.
func collectionAt(history []platformChange, version int64) []catalog.Record {
	live := map[string]catalog.Record{}
	for _, c := range history {
		if c.version > version {
			break
		}
		delete(live, c.name)
		if !c.deleted {
			live[c.name] = catalog.Record{Kind: catalog.KindProfile, Name: c.name, Version: c.version}
		}
	}
	return lo.Values(live)
}

func (c platformChange) deliver(r *records) {
	if c.deleted {
		r.remove(Tombstone{Kind: catalog.KindProfile, Name: c.name, Version: c.version})
		return
	}
	r.put(catalog.Record{Kind: catalog.KindProfile, Name: c.name, Version: c.version})
}

// TestRecordsNeverRevert delivers a history of changes to two daemons: as events in any
// order with gaps and repeats, as stale lists, and as deltas of the other daemon. No
// object's version may decrease, and after a current list both must match the platform.
func TestRecordsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []platformChange
		exists := map[string]bool{}
		for version := range int64(rapid.IntRange(1, 20).Draw(t, "writes")) {
			name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
			deleted := exists[name] && rapid.Bool().Draw(t, "deleted")
			exists[name] = !deleted
			history = append(history, platformChange{name: name, version: version + 1, deleted: deleted})
		}
		newest := int64(len(history))
		daemons := []*records{newRecords(), newRecords()}
		lastVersions := []map[string]int64{{}, {}}
		for range rapid.IntRange(0, 40).Draw(t, "deliveries") {
			n := rapid.IntRange(0, 1).Draw(t, "daemon")
			at := rapid.Int64Range(1, newest).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "way") {
			case 0:
				history[at-1].deliver(daemons[n])
			case 1:
				daemons[n].applyList(at, collectionAt(history, at))
			case 2:
				daemons[n].merge(daemons[1-n].deltaSince(rapid.Int64Range(0, at).Draw(t, "since")))
			}
			for _, c := range history {
				key := catalog.Record{Kind: catalog.KindProfile, Name: c.name}.Key()
				version := daemons[n].lastVersion(key)
				if version < lastVersions[n][key] {
					t.Fatalf("daemon %d: %s reverted from %d to %d", n, key, lastVersions[n][key], version)
				}
				lastVersions[n][key] = version
			}
		}
		want := newRecords()
		want.applyList(newest, collectionAt(history, newest))
		for n, r := range daemons {
			r.applyList(newest, collectionAt(history, newest))
			if r.digest != want.digest || len(r.live) != len(want.live) {
				t.Fatalf("daemon %d has %v, the platform has %v", n, r.live, want.live)
			}
		}
	})
}

// TestRecordsKeepTheNewestTombstones checks that pruning drops only old tombstones, and that
// a stale list does not restore a record whose tombstone was dropped.
func TestRecordsKeepTheNewestTombstones(t *testing.T) {
	r := newRecords()
	order := rand.New(rand.NewPCG(1, 1)).Perm(maxTombstones + 1)
	for _, n := range order {
		r.remove(Tombstone{Kind: catalog.KindProfile, Name: fmt.Sprint(n), Version: int64(n + 1)})
	}
	if _, kept := r.deleted["profile."+fmt.Sprint(maxTombstones)]; !kept {
		t.Fatal("the newest tombstone was dropped")
	}
	if len(r.deleted) > maxTombstones {
		t.Fatalf("%d tombstones are kept", len(r.deleted))
	}
	if _, stale := r.applyList(1, []catalog.Record{{Kind: catalog.KindProfile, Name: "0", Version: 1}}); !stale || len(r.live) > 0 {
		t.Fatal("a stale list restored a deleted record")
	}
}
