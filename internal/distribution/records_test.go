package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// write is one change of the platform; version is its place in the history, from 1.
type write struct {
	name    string
	version int64
	deleted bool
}

// asOf is the collection at a version.
func asOf(history []write, version int64) []catalog.Record {
	live := map[string]catalog.Record{}
	for _, w := range history {
		if w.version > version {
			break
		}
		delete(live, w.name)
		if !w.deleted {
			live[w.name] = catalog.Record{Kind: catalog.KindProfile, Name: w.name, Version: w.version}
		}
	}
	return lo.Values(live)
}

func (w write) deliver(r *records) {
	if w.deleted {
		r.remove(Tombstone{Kind: catalog.KindProfile, Name: w.name, Version: w.version})
		return
	}
	r.put(catalog.Record{Kind: catalog.KindProfile, Name: w.name, Version: w.version})
}

// TestRecordsNeverRevert delivers a history to two daemons as events in any order, with
// gaps and repeats, as stale lists and as answers of the other one. No object's version
// goes back, and after a fresh list both have what the platform has.
func TestRecordsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []write
		exists := map[string]bool{}
		for version := range int64(rapid.IntRange(1, 20).Draw(t, "writes")) {
			name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
			deleted := exists[name] && rapid.Bool().Draw(t, "deleted")
			exists[name] = !deleted
			history = append(history, write{name: name, version: version + 1, deleted: deleted})
		}
		newest := int64(len(history))
		daemons := []*records{newRecords(), newRecords()}
		known := []map[string]int64{{}, {}}
		for range rapid.IntRange(0, 40).Draw(t, "deliveries") {
			n := rapid.IntRange(0, 1).Draw(t, "daemon")
			at := rapid.Int64Range(1, newest).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "way") {
			case 0:
				history[at-1].deliver(daemons[n])
			case 1:
				daemons[n].replace(at, asOf(history, at))
			case 2:
				daemons[n].merge(daemons[1-n].since(rapid.Int64Range(0, at).Draw(t, "since")))
			}
			for _, w := range history {
				key := catalog.Record{Kind: catalog.KindProfile, Name: w.name}.Key()
				version := daemons[n].known(key)
				if version < known[n][key] {
					t.Fatalf("daemon %d: %s went back from %d to %d", n, key, known[n][key], version)
				}
				known[n][key] = version
			}
		}
		want := newRecords()
		want.replace(newest, asOf(history, newest))
		for n, r := range daemons {
			r.replace(newest, asOf(history, newest))
			if r.digest != want.digest || len(r.live) != len(want.live) {
				t.Fatalf("daemon %d has %v, the platform has %v", n, r.live, want.live)
			}
		}
	})
}

// TestRecordsKeepTheNewestTombstones checks that the bound on deletions drops old ones
// only, and that a stale list brings nothing back whose tombstone was dropped.
func TestRecordsKeepTheNewestTombstones(t *testing.T) {
	r := newRecords()
	order := rand.New(rand.NewPCG(1, 1)).Perm(maxTombstones + 1)
	for _, n := range order {
		r.remove(Tombstone{Kind: catalog.KindProfile, Name: fmt.Sprint(n), Version: int64(n + 1)})
	}
	if _, kept := r.deleted["profile."+fmt.Sprint(maxTombstones)]; !kept {
		t.Fatal("the newest deletion was dropped")
	}
	if len(r.deleted) > maxTombstones {
		t.Fatalf("%d deletions are kept", len(r.deleted))
	}
	if _, stale := r.replace(1, []catalog.Record{{Kind: catalog.KindProfile, Name: "0", Version: 1}}); !stale || len(r.live) > 0 {
		t.Fatal("a stale list brought a deleted record back")
	}
}
