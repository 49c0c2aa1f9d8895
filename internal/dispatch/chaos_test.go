package dispatch_test

import (
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// chaosInterval is the time between changes of faults.
const chaosInterval = 5 * time.Millisecond

// disturb gives a random engine a random fault, again and again, until stop is closed.
// The order of faults follows from the seed.
func (b *bed) disturb(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, seed))
	faults := []engine.Faults{
		{},
		{Refuse: true},
		{CrashOnArrival: true, DownMS: 20, Times: 1},
		{CrashAfterTokens: 3, DownMS: 20, Times: 1},
		{HalfAfterTokens: 4},
		{CrossedAfterTokens: 5},
		{DoubledAfterTokens: 2},
		{GarbageAfterTokens: 2},
		{SilentAfterTokens: 4, Times: 1},
		{Slowdown: 5},
	}
	for {
		select {
		case <-stop:
			b.setAll(engine.Faults{})
			return
		case <-time.After(chaosInterval):
			b.engines[random.IntN(len(b.engines))].SetFaults(faults[random.IntN(len(faults))])
		}
	}
}
