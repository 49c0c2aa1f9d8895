package estimate_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEstimate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimate")
}
