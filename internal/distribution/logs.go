package distribution

import lru "github.com/hashicorp/golang-lru/v2"

// changeLog remembers at which version a change was seen, by its ID.
type changeLog struct{ seen *lru.Cache[string, int64] }

func newChangeLog(size int) *changeLog {
	seen, _ := lru.New[string, int64](size) // Fails only for a size below 1.
	return &changeLog{seen: seen}
}

func (c *changeLog) add(changeID string, version int64) { c.seen.Add(changeID, version) }

func (c *changeLog) version(changeID string) (int64, bool) { return c.seen.Get(changeID) }

// digestLog remembers which revision each digest was installed with.
type digestLog struct{ revisions *lru.Cache[uint64, int64] }

func newDigestLog(size int) *digestLog {
	revisions, _ := lru.New[uint64, int64](size) // Fails only for a size below 1.
	return &digestLog{revisions: revisions}
}

func (l *digestLog) add(digest uint64, revision int64) { l.revisions.Add(digest, revision) }

// since reports whether the digest was installed here at a revision or later.
func (l *digestLog) since(digest uint64, revision int64) bool {
	installed, ok := l.revisions.Get(digest)
	return ok && installed >= revision
}
