package resume

import (
	"slices"

	"github.com/primrosewell/primrosewell/internal/directory"
)

// No gateway knows whether its list of endpoints lacks a version that others use already. Two
// quorums make up for that: a stream begins at a version only once spreadQuorum gateways hold a
// list with it, and a gateway concludes that a service has had one version only if readQuorum
// gateways, itself included, have seen no other. Any two such groups share a gateway.

// maxReadQuorum bounds the gateways that must answer a question. In a fleet of more than twice as
// many, a version has to spread further instead.
const maxReadQuorum = 12

// readQuorum returns the number of gateways that must have seen no other version of a service.
func readQuorum(gateways int) int { return min(gateways/2+1, maxReadQuorum) }

// spreadQuorum returns the number of gateways that must hold a list with a version.
func spreadQuorum(gateways int) int { return gateways - readQuorum(gateways) + 1 }

// SpreadVersion returns the newest list version that spreadQuorum of the gateways hold, as a gateway
// with the list version own knows from those that its peers reported. It is the zero version if there
// is none. Lists of another era, or of an unknown one, don't count, nor do later ones than its own: a
// software version that it still lists may have left before they were read.
func SpreadVersion(own directory.Version, reported []directory.Version, gateways int) directory.Version {
	numbers := []int64{own.Number}
	for _, v := range reported {
		if v.Era == own.Era && v.Number <= own.Number {
			numbers = append(numbers, v.Number)
		}
	}
	quorum := spreadQuorum(gateways)
	if len(numbers) < quorum {
		return directory.Version{}
	}
	slices.Sort(numbers)
	return directory.Version{Era: own.Era, Number: numbers[len(numbers)-quorum]}
}
