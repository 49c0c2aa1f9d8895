package dispatch_test

import (
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// chaosInterval is the time between two fault injections.
const chaosInterval = 5 * time.Millisecond

// injectRandomFaults repeatedly sets a random fault on a random engine until stop is closed.
// The seed determines the sequence of faults.
func (f *fixture) injectRandomFaults(seed uint64, stop <-chan struct{}) {
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
			f.setFaults(engine.Faults{})
			return
		case <-time.After(chaosInterval):
			f.engines[random.IntN(len(f.engines))].SetFaults(faults[random.IntN(len(faults))])
		}
	}
}
