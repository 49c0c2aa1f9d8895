package telemetry_test

import (
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/telemetry"
)

func TestTheBuildSaysFromWhenAndForWhichMachineItIs(t *testing.T) {
	g := NewWithT(t)
	fields := telemetry.BuildFields()
	g.Expect(fields).To(HaveKeyWithValue("arch", runtime.GOARCH))
	g.Expect(fields["processors"]).To(BeNumerically(">", 0))
	builtAt, err := time.Parse(time.RFC3339, fields["built_at"].(string))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(builtAt).To(BeTemporally("<=", time.Now()))
}
