package scaling

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: the platform takes all reclaimable endpoints of a data centre away at once. What is left must
// serve, so the number of endpoints is that of the demand after such a loss. Spreading reclaimable ones over
// the data centres is cheaper than ordinary ones as long as they cost less than about two thirds of these.

const (
	// minOrdinaryShare is the share of the wanted endpoints that are ordinary, so that some are left if
	// several data centres lose their reclaimable endpoints.
	minOrdinaryShare = 0.05
	// maxReclaimablePrice is the price above which reclaimable endpoints are not worth the time in which both
	// kinds are billed, nor the caches that move.
	maxReclaimablePrice = 0.6
)

// allocation is a number of endpoints of each kind for a data centre.
type allocation struct{ ordinary, reclaimable int }

// site is a data centre as an allocation sees it: the price, and the most endpoints of each kind that are to
// be had.
type site struct {
	name  string
	price float64
	most  allocation
}

// allocate returns, for each site, the cheapest allocation with a number of endpoints, of which survivors are
// left after the loss of all reclaimable ones of any one site. If there is none, it returns one that misses the
// least.
func allocate(scaling routetable.Scaling, sites []site, wanted, survivors int) []allocation {
	target, mostOrdinary := max(wanted, survivors, scaling.Min*len(sites)), 0
	for _, s := range sites {
		mostOrdinary += s.most.ordinary
	}
	mostReclaimable := scaling.Max
	if !usesReclaimable(scaling) {
		mostReclaimable = 0
	}
	var best []allocation
	fewest, lowest := math.MaxInt, math.Inf(1)
	least := int(math.Ceil(minOrdinaryShare * float64(target)))
	for ordinary := min(mostOrdinary, least); ordinary <= min(mostOrdinary, target); ordinary++ {
		parts := spread(sites, ordinary)
		if fewest == 0 && ordinaryPrice(sites, parts) >= lowest {
			break // Further ordinary endpoints only cost more.
		}
		with := func(level int) []allocation {
			candidate := make([]allocation, len(sites))
			for i, s := range sites {
				candidate[i] = allocation{parts[i], max(0, min(level, s.most.reclaimable, scaling.Max-parts[i]))}
			}
			return candidate
		}
		missing := countMissing(scaling, with(mostReclaimable), wanted, survivors)
		// What is missing never grows with the number of reclaimable endpoints at each site.
		level := sort.Search(mostReclaimable, func(level int) bool {
			return countMissing(scaling, with(level), wanted, survivors) == missing
		})
		candidate := with(level)
		if cost := price(scaling, sites, candidate); missing < fewest || missing == fewest && cost < lowest {
			best, fewest, lowest = candidate, missing, cost
		}
	}
	return best
}

// addReclaimable raises the number of reclaimable endpoints, evenly, until survivors are left after a loss.
func addReclaimable(scaling routetable.Scaling, sites []site, targets []allocation, survivors int) {
	if !usesReclaimable(scaling) {
		return
	}
	for level := 1; level <= scaling.Max && countMissing(scaling, targets, 0, survivors) > 0; level++ {
		for i, s := range sites {
			t := &targets[i]
			t.reclaimable = max(t.reclaimable, min(level, s.most.reclaimable, scaling.Max-t.ordinary))
		}
	}
}

// usesReclaimable reports whether there are reclaimable endpoints that are worth it.
func usesReclaimable(scaling routetable.Scaling) bool {
	return scaling.ReclaimablePrice > 0 && scaling.ReclaimablePrice <= maxReclaimablePrice
}

// countMissing returns how many endpoints an allocation misses.
func countMissing(scaling routetable.Scaling, candidate []allocation, wanted, survivors int) (missing int) {
	count, largestLoss := 0, 0
	for _, a := range candidate {
		count += a.ordinary + a.reclaimable
		largestLoss = max(largestLoss, a.reclaimable)
		missing += max(0, scaling.Min-a.ordinary-a.reclaimable)
	}
	return missing + max(0, wanted-count) + max(0, survivors-(count-largestLoss))
}

// price returns what an allocation costs for each second.
func price(scaling routetable.Scaling, sites []site, candidate []allocation) (sum float64) {
	for i, a := range candidate {
		sum += sites[i].price * (float64(a.ordinary) + scaling.ReclaimablePrice*float64(a.reclaimable))
	}
	return sum
}

func ordinaryPrice(sites []site, parts []int) (sum float64) {
	for i, n := range parts {
		sum += sites[i].price * float64(n)
	}
	return sum
}

// spread returns, for each site, its part of n ordinary endpoints. The parts are even up to what is to be had;
// the first sites, which are the cheapest, get the remainder.
func spread(sites []site, n int) []int {
	parts := make([]int, len(sites))
	for n > 0 {
		before := n
		for i, s := range sites {
			if n > 0 && parts[i] < s.most.ordinary {
				parts[i]++
				n--
			}
		}
		if n == before {
			break
		}
	}
	return parts
}

// sitesOf returns the data centres in which endpoints can be ordered, the cheapest first: those that have a
// price, or those of the endpoints if none has one.
func sitesOf(service Service) []site {
	prices := service.Scaling.Prices
	if len(prices) == 0 {
		prices = make(map[string]float64)
		for _, e := range service.Endpoints {
			prices[e.DataCentre] = 1
		}
	}
	sites := make([]site, 0, len(prices))
	for name, price := range prices {
		sites = append(sites, site{name: name, price: price, most: allocation{service.Scaling.Max, service.Scaling.Max}})
	}
	slices.SortFunc(sites, func(a, b site) int { return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name)) })
	return sites
}
