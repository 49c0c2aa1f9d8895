package claim

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// setDefault replaces the default of a flag that was not given.
func setDefault(name, from, to string) {
	if f := flag.Lookup(name); f.Value.String() == from {
		Expect(f.Value.Set(to)).To(Succeed())
	}
}

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", "20")
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "claim")
}
