package opaque_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOpaque(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "opaque")
}
