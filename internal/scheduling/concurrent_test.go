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

// grantLog collects the grants that have not been released. It is safe for concurrent use.
type grantLog struct {
	mu         sync.Mutex
	unreleased []string
}

func (l *grantLog) add(decisions []scheduling.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range decisions {
		if d.Kind == scheduling.Granted {
			l.unreleased = append(l.unreleased, d.Request.ID)
		}
	}
}

func (l *grantLog) pop() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unreleased) == 0 {
		return "", false
	}
	id := l.unreleased[0]
	l.unreleased = l.unreleased[1:]
	return id, true
}

var _ = Describe("Concurrent use", func() {
	It("keeps the scheduling rules, decides each request once, and loses no slot", func() {
		f := newFixture(5, func(c *scheduling.Config) { c.MaxQueueLength = 200 })
		log := &grantLog{}
		release := func() {
			if id, ok := log.pop(); ok {
				log.add(f.pool.Release(f.now, routing.Report{AttemptID: id, Result: routing.ResultCompleted}))
			}
		}
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(worker)))
				for i := range 500 {
					request := newRequest(fmt.Sprint(worker, "-", i), catalog.Tier(1+random.IntN(3)))
					request.Workspace = fmt.Sprint(random.IntN(5))
					log.add(f.pool.Submit(f.now, request))
					if random.IntN(3) == 0 {
						log.add(f.pool.Cancel(f.now, request.ID))
					}
					release()
					if random.IntN(20) == 0 {
						log.add(f.pool.Tick(f.now))
					}
				}
			})
		}
		group.Wait()
		for range 4000 {
			release()
		}
		f.now = f.now.Add(time.Minute)
		log.add(f.pool.Tick(f.now))
		expectNoViolations(f, true)
		Expect(f.placer.busy).To(BeZero())
		Expect(f.pool.Stats(f.now).Waiting).To(BeZero())
	})
})
