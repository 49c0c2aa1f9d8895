package duty

const (
	// epochVersionBits is the number of bits of an epoch that hold the version of the store: at 1,200
	// writes a second, 2^40 versions last for 29 years. The era is in the bits above.
	epochVersionBits = 40
	// maxEpochEra is the greatest era that fits.
	maxEpochEra = 1<<(63-epochVersionBits) - 1
)

// epochOf returns the epoch of the write that the store gave this version in this era. Versions grow
// within an era, and the era is raised when the store comes back from an older copy, so a later write
// has a greater epoch. It returns false if the numbers are too great.
func epochOf(era, version int64) (int64, bool) {
	if era < 0 || era > maxEpochEra || version <= 0 || version >= 1<<epochVersionBits {
		return 0, false
	}
	return era<<epochVersionBits | version, true
}
