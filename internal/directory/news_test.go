package directory_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/directory"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

var _ = Describe("News", func() {
	row := func(id string) routetable.Endpoint {
		return routetable.Endpoint{ID: id, Service: "s", Address: id + ":1", Slots: 1}
	}
	var d *directory.Directory
	BeforeEach(func() {
		d = directory.New()
		d.Replace(time.Unix(1000, 0), []routetable.Endpoint{row("a"), row("b")})
		Expect(d.AssignVersion(10)).To(BeTrue())
	})

	It("are the whole list for who has none, or one of before the first", func() {
		for _, since := range []int64{0, 9} {
			news := d.DeltaSince(since)
			Expect(news.Full).To(BeTrue())
			Expect(news.Endpoints).To(Equal([]routetable.Endpoint{row("a"), row("b")}))
		}
	})

	It("are the rows that changed, those without a number included", func() {
		Expect(d.AssignVersion(11)).To(BeFalse(), "nothing changed")
		d.Put(row("c"))
		d.AssignVersion(12)
		d.Put(row("d"))
		d.Remove(time.Unix(1000, 0), "a")
		news := d.DeltaSince(10)
		Expect(news.Full).To(BeFalse())
		Expect(news.Endpoints).To(Equal([]routetable.Endpoint{row("c"), row("d")}))
		Expect(news.Removed).To(Equal([]string{"a"}))
		Expect(d.DeltaSince(12).Endpoints).To(Equal([]routetable.Endpoint{row("d")}))
	})

	It("have a digest that every field of a row changes", func() {
		usual := reflect.ValueOf(row("a"))
		digest := func(e routetable.Endpoint) uint64 {
			other := directory.New()
			other.Put(e)
			return other.DeltaSince(0).Digest
		}
		for i := range usual.NumField() {
			changed := row("a")
			switch field := reflect.ValueOf(&changed).Elem().Field(i); field.Kind() {
			case reflect.String:
				field.SetString("other")
			case reflect.Bool:
				field.SetBool(true)
			default:
				field.SetInt(77)
			}
			Expect(digest(changed)).NotTo(Equal(digest(row("a"))), usual.Type().Field(i).Name)
		}
	})

	It("are the whole list for who is further behind than removed rows are remembered", func() {
		for i := range 4100 {
			id := fmt.Sprint("x", i)
			d.Put(row(id))
			d.AssignVersion(int64(100 + 2*i))
			d.Remove(time.Unix(1000, 0), id)
			d.AssignVersion(int64(101 + 2*i))
		}
		Expect(d.DeltaSince(10).Full).To(BeTrue())
		late := d.DeltaSince(100 + 2*4000)
		Expect(late.Full).To(BeFalse())
		Expect(late.Removed).To(HaveLen(100))
	})
})

// TestNewsLeadToTheSameList lets one directory change at random, and others take its news
// now and then: of changes, or of the whole if that is asked for.
func TestNewsLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, now, number := directory.New(), time.Unix(1000, 0), int64(1)
		takers := make([]*directory.Directory, 3)
		has := make([]int64, len(takers))
		for i := range takers {
			takers[i] = directory.New()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				source.Put(routetable.Endpoint{ID: id, Service: "s", Address: id, Draining: rapid.Bool().Draw(t, "draining")})
			case 2:
				source.Remove(now, id)
			case 3:
				source.PlatformUnavailable()
			case 4:
				source.PlatformAvailable(now)
			case 5:
				now = now.Add(directory.ReturnGrace / 2)
				source.Expire(now)
			default:
				i := rapid.IntRange(0, len(takers)-1).Draw(t, "taker")
				news := source.DeltaSince(has[i])
				if !takers[i].Apply(news) {
					if news.Full {
						t.Fatalf("the whole list does not lead to itself: %+v", news)
					}
					takers[i].Apply(source.DeltaSince(0))
				}
				takers[i].AssignVersion(number)
				has[i] = number
				requireSameRows(t, source, takers[i])
				continue
			}
			number++
			source.AssignVersion(number)
		}
	})
}

// requireSameRows compares the rows that are certain: those that the source waits for may
// be unknown to the taker, or known as they were.
func requireSameRows(t *rapid.T, source, taker *directory.Directory) {
	lapsed := make(map[string]bool)
	for _, id := range source.Lapsed() {
		lapsed[id] = true
	}
	rows := func(d *directory.Directory) map[string]routetable.Endpoint {
		certain := make(map[string]routetable.Endpoint)
		for _, e := range d.Endpoints() {
			if !lapsed[e.ID] {
				certain[e.ID] = e
			}
		}
		return certain
	}
	a, b := rows(source), rows(taker)
	if len(a) != len(b) {
		t.Fatalf("%v and %v", a, b)
	}
	for id, e := range a {
		if b[id] != e {
			t.Fatalf("%v and %v", e, b[id])
		}
	}
}
