package gossip_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// patience is the timeout for awaited events; it is generous and asserts nothing about speed.
const patience = 20 * time.Second

// rapidSeed fixes the generated schedules; -rapid.seed overrides it.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gossip")
}
