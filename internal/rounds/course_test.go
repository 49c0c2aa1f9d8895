package rounds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/rounds"
)

func TestCourse(t *testing.T) {
	g := NewWithT(t)
	c := rounds.Course{Worth: 0.5, Windows: []rounds.Window{
		{Requests: 4, Worth: 0.75, Late: 1, MedianWait: 120 * time.Millisecond, LongWait: 2 * time.Second},
		{Start: 2 * time.Second},
	}}
	var table bytes.Buffer
	g.Expect(rounds.WriteCourse(&table, c)).To(Succeed())
	g.Expect(table.String()).To(MatchRegexp(`(?m)^0 +4 +0\.750 +0\.250 +0\.000 +0\.000 +120ms +2s$`))
	g.Expect(table.String()).To(MatchRegexp(`(?m)^2 +0 +0\.000 `))
	file := filepath.Join(t.TempDir(), "p.png")
	g.Expect(rounds.PlotCourse(file, c)).To(Succeed())
	info, err := os.Stat(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Size()).To(BeNumerically(">", 1000))
	g.Expect(rounds.PlotCourse(file, rounds.Course{})).NotTo(Succeed())
}
