package directory

import (
	"cmp"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// Version orders the endpoint lists of all daemons: first by era, then by number.
type Version struct {
	// Era is the platform's era in which the list was read, or 0 if it is unknown: the platform
	// states none, or the list comes from a daemon of a build that does not send it.
	Era int64
	// Number grows with each change within an era; 0 means that there is no list.
	Number int64
}

// After reports whether v is newer than other. If either era is unknown, only the numbers can
// be compared.
func (v Version) After(other Version) bool { return v.compare(other) > 0 }

func (v Version) compare(other Version) int {
	if v.SameEra(other) {
		return cmp.Compare(v.Number, other.Number)
	}
	return cmp.Compare(v.Era, other.Era)
}

// SameEra reports whether the numbers of both versions are comparable.
func (v Version) SameEra(other Version) bool {
	return platform.SameEra(v.Era, other.Era)
}

// Latest returns the newer of two versions, and a if neither is newer.
func Latest(a, b Version) Version {
	if b.After(a) {
		return b
	}
	return a
}
