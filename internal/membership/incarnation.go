package membership

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NewIncarnation names one start of a process. Incarnations of one VM name compare
// as strings in the order of their starts, by the wall clocks of the VMs.
func NewIncarnation(started time.Time, rng *rand.Rand) string {
	return fmt.Sprintf("%012x-%08x", started.UnixMilli(), rng.Uint32())
}
