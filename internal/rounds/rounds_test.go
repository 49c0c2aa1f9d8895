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

func TestRounds(t *testing.T) {
	g := NewWithT(t)
	all := []rounds.Round{
		{Site: "b", At: time.Unix(5, 0), Score: 0.5},
		{Site: "a", At: time.Unix(9, 0), Purpose: "second", Score: 0.9, Days: []rounds.Day{{Name: "quiet", Worth: 0.8}}},
		{Site: "a", At: time.Unix(1, 0), Purpose: "first", Score: 0.3, Days: []rounds.Day{{Name: "quiet", Worth: 0.2}}},
	}
	rounds.Sort(all)
	g.Expect(all[0].Purpose).To(Equal("first"))
	var table bytes.Buffer
	g.Expect(rounds.WriteTable(&table, all)).To(Succeed())
	g.Expect(table.String()).To(MatchRegexp(`(?s)first.*second`))
	file := filepath.Join(t.TempDir(), "p.png")
	g.Expect(rounds.WritePlot(file, "a", all)).To(Succeed())
	info, err := os.Stat(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Size()).To(BeNumerically(">", 1000))
	g.Expect(rounds.WritePlot(file, "c", all)).NotTo(Succeed())
}
