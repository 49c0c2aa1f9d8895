package platformstandin_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatformStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform stand-in")
}
