package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// classSpec describes one class of requests.
type classSpec struct {
	name   string
	tier   catalog.Tier
	target catalog.Target
	// floor is the guaranteed share of dispatches, in percent.
	floor float64
	// share is the class's part of the pool's computation at a load of 1.
	share float64
	// prompt and output are mean lengths, in tokens; plain calls count steps as output.
	prompt int
	output int
	// common is the share of the prompt that all requests of a workspace have in common.
	common float64
	// once marks work that is not to be repeated.
	once bool
}

// poolSpec describes one service.
type poolSpec struct {
	name    string
	workers int
	engine  engineSpec
	plain   bool
	// maxConcurrent is the configured cap of each endpoint.
	maxConcurrent int
	classes       []classSpec
}

// sizeSpec describes one user's deployment.
type sizeSpec struct {
	daemons int
	// client is the time from a client to a daemon, one way.
	client time.Duration
	pools  []poolSpec
}

// hop is the time between two VMs of a deployment, one way.
const hop = time.Millisecond

// dataCentres is the number of data centres that the workers are spread over.
const dataCentres = 3

// workspaceShares are the parts of each workspace in the traffic: a few are large.
var workspaceShares = []float64{0.30, 0.22, 0.13, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

var sizes = map[string]sizeSpec{
	"caledonian": {daemons: 8, client: time.Millisecond, pools: []poolSpec{
		{name: "bulletin-llm", workers: 9, engine: modelEngine, maxConcurrent: 64, classes: []classSpec{
			{name: "pilot-correction", tier: 1, target: catalog.Target{FirstTokenMS: 1000}, floor: 5, share: 0.15, prompt: 600, output: 80, common: 0.6},
			{name: "survey-question", tier: 2, target: catalog.Target{FirstTokenMS: 2500}, floor: 3, share: 0.35, prompt: 1200, output: 250, common: 0.4},
			{name: "bulletin-draft", tier: 3, target: catalog.Target{CompleteMS: 90_000}, floor: 2, share: 0.50, prompt: 5000, output: 700, common: 0.2},
		}},
		{name: "receiver-api", workers: 3, engine: plainWorker, plain: true, maxConcurrent: 8, classes: []classSpec{
			{name: "correction-push", tier: 1, target: catalog.Target{CompleteMS: 500}, floor: 5, share: 0.3, output: 32, once: true},
			{name: "receiver-lookup", tier: 3, target: catalog.Target{CompleteMS: 2000}, floor: 2, share: 0.7, output: 24},
		}},
	}},
	"siamseal": {daemons: 6, client: 3 * time.Millisecond, pools: []poolSpec{
		{name: "drafting-models", workers: 9, engine: modelEngine, maxConcurrent: 64, classes: []classSpec{
			{name: "handover-summary", tier: 1, target: catalog.Target{CompleteMS: 45_000}, floor: 5, share: 0.30, prompt: 3500, output: 400, common: 0.2},
			{name: "installer-question", tier: 2, target: catalog.Target{FirstTokenMS: 2000}, floor: 3, share: 0.30, prompt: 500, output: 150, common: 0.7},
			{name: "coverage-draft", tier: 3, target: catalog.Target{CompleteMS: 120_000}, floor: 2, share: 0.40, prompt: 2500, output: 600, common: 0.2},
		}},
		{name: "registry-app", workers: 3, engine: plainWorker, plain: true, maxConcurrent: 8, classes: []classSpec{
			{name: "registration", tier: 1, target: catalog.Target{CompleteMS: 1000}, floor: 5, share: 0.4, output: 48, once: true},
			{name: "certificate-lookup", tier: 2, target: catalog.Target{CompleteMS: 2000}, floor: 2, share: 0.6, output: 20},
		}},
	}},
}

// Standard deviations of the logarithm of lengths.
const (
	answerSpread = 0.6
	plainSpread  = 0.3
)

// drawLength draws a log-normal length with the given mean, at least 1.
func drawLength(random *rand.Rand, mean int, spread float64) int {
	if mean <= 1 {
		return mean
	}
	mu := math.Log(float64(mean)) - spread*spread/2
	return max(1, int(math.Exp(mu+spread*random.NormFloat64())))
}

// spread is the spread of the lengths of the pool's requests.
func (p poolSpec) spread() float64 {
	if p.plain {
		return plainSpread
	}
	return answerSpread
}

// rate is the class's arrivals per second at a load of 1.
func (c classSpec) rate(p poolSpec) float64 {
	return c.share * float64(p.workers) / p.engine.cost(c.prompt, c.output)
}

func drawWorkspace(random *rand.Rand) int {
	x := random.Float64()
	for i, share := range workspaceShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(workspaceShares) - 1
}

// prefixOf returns the chained hashes of a prompt's blocks: a common part of the
// workspace and class, then a part of the request's own.
func prefixOf(class *classSpec, workspace, prompt int, own uint64) []uint64 {
	blocks := prompt / blockTokens
	shared := min(blocks, int(class.common*float64(class.prompt))/blockTokens)
	prefix := make([]uint64, blocks)
	seed := uint64(workspace+1)<<32 ^ uint64(len(class.name))<<48 ^ uint64(class.name[0])<<56
	for i := range prefix {
		if i >= shared {
			seed = own << 8
		}
		prefix[i] = mix(seed + uint64(i))
	}
	return prefix
}

// mix spreads the bits of x (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
