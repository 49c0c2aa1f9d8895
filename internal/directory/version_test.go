package directory_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

func TestVersionOrder(t *testing.T) {
	g := NewWithT(t)
	v := func(era, number int64) directory.Version { return directory.Version{Era: era, Number: number} }
	g.Expect(v(2, 5).After(v(1, 9))).To(BeTrue(), "a later era")
	g.Expect(v(1, 9).After(v(2, 5))).To(BeFalse())
	g.Expect(v(2, 9).After(v(2, 5))).To(BeTrue())
	g.Expect(v(0, 9).After(v(2, 5))).To(BeTrue(), "an unknown era: the numbers decide")
	g.Expect(directory.Latest(v(1, 9), v(2, 5))).To(Equal(v(2, 5)))
	g.Expect(directory.Latest(v(1, 9), v(0, 9))).To(Equal(v(1, 9)), "neither is newer")
}

// The first list came from a daemon of an older build, which sends no era.
func TestDeltaAcrossErasAfterAnUnknownOne(t *testing.T) {
	g := NewWithT(t)
	d := directory.New()
	assign := func(era, number int64) {
		d.Put(routetable.Endpoint{ID: fmt.Sprint(era, number), Service: "s"})
		d.AssignVersion(directory.Version{Era: era, Number: number})
	}
	assign(0, 10)
	assign(1, 20)
	g.Expect(d.DeltaSince(directory.Version{Era: 1, Number: 20}).Full).To(BeFalse())
	assign(2, 15)
	g.Expect(d.DeltaSince(directory.Version{Era: 1, Number: 20}).Full).To(BeTrue(), "the numbers of another era can't be compared")
}

// Among versions of known eras the order is total, so that all daemons settle on one list.
func TestVersionOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) directory.Version {
			return directory.Version{Era: rapid.Int64Range(1, 3).Draw(t, "era"), Number: rapid.Int64Range(1, 4).Draw(t, "number")}
		})
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		if a.After(b) == b.After(a) && a != b {
			t.Fatalf("%+v and %+v are not ordered", a, b)
		}
		if a.After(b) && b.After(c) && !a.After(c) {
			t.Fatalf("%+v, %+v, %+v are not transitive", a, b, c)
		}
	})
}
