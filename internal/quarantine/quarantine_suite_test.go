package quarantine_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rapidSeed makes the generated schedules reproducible; -rapid.seed overrides it.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}
