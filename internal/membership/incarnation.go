package membership

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NewIncarnation returns an ID for one start of a process. The incarnations of one VM name
// compare as strings in the order of their start times, by the wall clocks of the VMs.
func NewIncarnation(started time.Time, rng *rand.Rand) string {
	return fmt.Sprintf("%012x-%08x", started.UnixMilli(), rng.Uint32())
}
