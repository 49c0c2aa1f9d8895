package httpio_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPIO(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "HTTPIO")
}
