package distribution

import lru "github.com/hashicorp/golang-lru/v2"

// changeLog caches the version of each recent change by change ID.
type changeLog struct{ versions *lru.Cache[string, int64] }

func newChangeLog(size int) *changeLog {
	versions, _ := lru.New[string, int64](size) // Fails only for a size below 1.
	return &changeLog{versions: versions}
}

func (c *changeLog) add(changeID string, version int64) { c.versions.Add(changeID, version) }

func (c *changeLog) versionOf(changeID string) (int64, bool) { return c.versions.Get(changeID) }

// digestLog caches the latest revision at which each recent digest was installed.
type digestLog struct{ revisions *lru.Cache[uint64, int64] }

func newDigestLog(size int) *digestLog {
	revisions, _ := lru.New[uint64, int64](size) // Fails only for a size below 1.
	return &digestLog{revisions: revisions}
}

func (l *digestLog) add(digest uint64, revision int64) { l.revisions.Add(digest, revision) }

// installedSince reports whether this daemon installed the digest at the revision or later.
func (l *digestLog) installedSince(digest uint64, revision int64) bool {
	installed, ok := l.revisions.Get(digest)
	return ok && installed >= revision
}
