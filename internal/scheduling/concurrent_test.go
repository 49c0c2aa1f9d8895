package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// grantLog collects the grants that are to be released. It is safe for concurrent use.
type grantLog struct {
	mu   sync.Mutex
	open []string
}

func (l *grantLog) add(decisions []scheduling.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range decisions {
		if d.Kind == scheduling.Granted {
			l.open = append(l.open, d.Request.ID)
		}
	}
}

func (l *grantLog) pop() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) == 0 {
		return "", false
	}
	id := l.open[0]
	l.open = l.open[1:]
	return id, true
}

var _ = Describe("Concurrent use", func() {
	It("keeps the rule, gives each ask one end, and loses no slot", func() {
		b := newBed(5, func(c *scheduling.Config) { c.MaxWaiting = 200 })
		log := &grantLog{}
		release := func() {
			if id, ok := log.pop(); ok {
				log.add(b.pool.Release(b.now, routing.Report{AttemptID: id, Result: routing.ResultCompleted}))
			}
		}
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(worker)))
				for i := range 500 {
					a := ask(fmt.Sprint(worker, "-", i), catalog.Tier(1+random.IntN(3)))
					a.Workspace = fmt.Sprint(random.IntN(5))
					log.add(b.pool.Submit(b.now, a))
					if random.IntN(3) == 0 {
						log.add(b.pool.Cancel(b.now, a.ID))
					}
					release()
					if random.IntN(20) == 0 {
						log.add(b.pool.Tick(b.now))
					}
				}
			})
		}
		group.Wait()
		for range 4000 {
			release()
		}
		b.now = b.now.Add(time.Minute)
		log.add(b.pool.Tick(b.now))
		expectLawful(b, true)
		Expect(b.slots.busy).To(BeZero())
		Expect(b.pool.Stats(b.now).Waiting).To(BeZero())
	})
})
