package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/quarantine/parts"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

const (
	// versionCollection holds an object for each service with its recent software versions, so that
	// gateways which all restart at once know at which a stream may have begun.
	versionCollection = "recent-versions"
	// maxStoredVersions bounds the versions of a service that are read from the platform.
	maxStoredVersions = 64
	// versionStoreInterval is the interval between two looks at what is to be stored.
	versionStoreInterval = 200 * time.Millisecond
	// versionCheckInterval is the interval at which what is stored is compared with what should be:
	// the platform may have come back from an older copy.
	versionCheckInterval = resume.Window / 2
	// maxVersionLoadDelay bounds the random delay between two attempts to read the versions at the
	// start, which doubles from versionStoreInterval.
	maxVersionLoadDelay = 5 * time.Second
)

// storedVersions is the content of an object of versionCollection.
type storedVersions struct {
	Versions []string `json:"versions"`
}

// versionStore keeps the recent versions of services at the platform.
type versionStore struct {
	store   platform.Store
	streams *resume.Tracker
	// chosen reports whether this gateway, of all, stores what changes in a turn.
	chosen func(service parts.Key, turn int64) bool
	log    *logrus.Logger
	// stored is what this gateway has last stored or found, by service.
	stored map[string]foundVersions
}

type foundVersions struct {
	versions []string
	at       time.Time
}

// Run reads the stored versions once, and stores changes until ctx ends.
func (v *versionStore) Run(ctx context.Context) {
	v.load(ctx)
	for ctx.Err() == nil {
		v.storeChanges(ctx, time.Now())
		sleep(ctx, versionStoreInterval)
	}
}

// load reads the stored versions. Each gateway does, since streams are resumed anywhere right after
// a restart of all.
func (v *versionStore) load(ctx context.Context) {
	for delay := versionStoreInterval; ctx.Err() == nil; delay = min(2*delay, maxVersionLoadDelay) {
		list, err := v.list(ctx)
		if err == nil {
			byService := make(map[string][]string, len(list.Items))
			for _, o := range list.Items {
				versions, err := decodeVersions(o)
				if err != nil {
					v.log.WithFields(logrus.Fields{"event": "versions_unreadable", "service": o.Name, "error": err}).Warn("stored versions can't be read and are ignored")
					continue
				}
				byService[o.Name] = versions
				v.stored[o.Name] = foundVersions{versions: versions, at: time.Now()}
			}
			v.streams.Restore(time.Now(), byService)
			v.log.WithFields(logrus.Fields{"event": "versions_loaded", "versions": byService}).Info("the recent versions of services were read from the platform")
			return
		}
		if ctx.Err() == nil {
			v.log.WithFields(logrus.Fields{"event": "versions_not_loaded", "error": err}).Warn("the recent versions of services could not be read from the platform; until then streams of unknown origin are not resumed")
		}
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}

func (v *versionStore) list(ctx context.Context) (platform.List, error) {
	ctx, cancel := context.WithTimeout(ctx, blockLoadTimeout)
	defer cancel()
	return v.store.List(ctx, versionCollection, "")
}

// storeChanges stores the versions of the services whose stored ones differ, and compares those that
// were last seen versionCheckInterval ago.
func (v *versionStore) storeChanges(ctx context.Context, now time.Time) {
	for service, versions := range v.streams.RecentVersions(now) {
		found, known := v.stored[service]
		if known && slices.Equal(v.outlasting(service, found.versions, versions), found.versions) && now.Sub(found.at) < versionCheckInterval {
			continue
		}
		if !v.chosen(parts.KeyOf(versionCollection, service), now.UnixNano()/int64(blockStoreTurn)) {
			continue
		}
		stored, err := v.put(ctx, service, versions)
		if err != nil {
			if ctx.Err() == nil {
				v.log.WithFields(logrus.Fields{"event": "versions_not_stored", "service": service, "versions": versions, "error": err}).Warn("the recent versions of a service could not be stored at the platform; it is tried again")
			}
			return
		}
		v.stored[service] = foundVersions{versions: stored, at: now}
	}
}

// outlasting returns what is to be stored in place of the old versions: those that are recent here, and
// those that others know why they are, unless this gateway has seen them leave.
func (v *versionStore) outlasting(service string, old, recent []string) []string {
	kept := lo.Reject(old, func(version string, _ int) bool {
		return v.streams.HasLeft(resume.Origin{Service: service, Version: version})
	})
	wanted := lo.Union(kept, recent)
	slices.Sort(wanted)
	return wanted
}

// put stores the versions of a service and returns what is stored then.
func (v *versionStore) put(ctx context.Context, service string, versions []string) ([]string, error) {
	current, err := v.store.Get(ctx, versionCollection, service)
	exists := err == nil
	if err != nil && platform.ReasonOf(err) != platform.NotFound {
		return nil, err
	}
	wanted := versions
	if exists {
		old, decodeErr := decodeVersions(current)
		if decodeErr == nil {
			wanted = v.outlasting(service, old, versions)
		}
		if decodeErr == nil && slices.Equal(old, wanted) {
			return wanted, nil
		}
	}
	data, err := json.Marshal(storedVersions{Versions: wanted})
	if err != nil {
		return nil, oops.Wrapf(err, "versions of %s", service)
	}
	o := platform.Object{Collection: versionCollection, Name: service, Version: current.Version, Data: data}
	if exists {
		_, err = v.store.Update(ctx, o)
	} else {
		_, err = v.store.Create(ctx, o)
	}
	if err == nil {
		v.log.WithFields(logrus.Fields{"event": "versions_stored", "service": service, "versions": wanted}).Info("the recent versions of a service were stored at the platform")
	}
	return wanted, err
}

func decodeVersions(o platform.Object) ([]string, error) {
	var content storedVersions
	if err := json.Unmarshal(o.Data, &content); err != nil {
		return nil, oops.Wrapf(err, "versions of %s", o.Name)
	}
	tooLong := lo.ContainsBy(content.Versions, func(version string) bool { return len(version) > routetable.MaxNameBytes })
	if len(content.Versions) > maxStoredVersions || tooLong {
		return nil, oops.Errorf("versions of %s: %d of them, or one of over %d bytes", o.Name, len(content.Versions), routetable.MaxNameBytes)
	}
	return content.Versions, nil
}
