package routetable_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRoutetable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Routetable")
}
