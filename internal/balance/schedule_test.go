package balance_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// init fixes the seed of the generated schedules; -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "23", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// scheduleIDs is the number of endpoint ids in a generated schedule.
const scheduleIDs = 4

// schedule plays one daemon: it places, sends and answers requests while lists come and go, and
// keeps by itself what the endpoints have said.
type schedule struct {
	*rapid.T
	now    time.Time
	pool   *balance.Pool
	listed []routetable.Endpoint
	// placed choices were not sent yet; sent ones run.
	placed, sent []*balance.Choice
	// leaving holds the latest start time of a process that said that it leaves, by id.
	leaving map[string]int64
	// quiet holds the end of the latest time for which a process asked for no requests, by id.
	quiet map[string]quiet
	// begun holds the states that began and have not ended.
	begun map[begunState]bool
	// sources holds the entries that were listed at each address.
	sources map[string][]routetable.Endpoint
}

type begunState struct {
	id        string
	startedAt int64
	state     balance.State
}

type quiet struct {
	startedAt int64
	until     time.Time
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{
		T: t, now: time.Unix(1000, 0), pool: balance.NewPool("dc", rand.New(rand.NewPCG(1, 2))),
		leaving: map[string]int64{}, quiet: map[string]quiet{}, begun: map[begunState]bool{}, sources: map[string][]routetable.Endpoint{},
	}
	s.pool.OnTransition(s.transition)
	s.pool.SetRemoteLoad(nil, rapid.SampledFrom([]int{0, 1, 5, 60}).Draw(t, "daemons"))
	return s
}

func (s *schedule) transition(t balance.Transition) {
	key := begunState{t.Endpoint.ID, t.Endpoint.StartedAt, t.State}
	if s.begun[key] == t.Begins {
		s.Fatalf("%v reported twice in a row", t)
	}
	s.begun[key] = t.Begins
}

func (s *schedule) leaves(e routetable.Endpoint) bool {
	startedAt, found := s.leaving[e.ID]
	return found && e.StartedAt <= startedAt
}

// mustNotGet returns why the endpoint must not get a request now, or "".
func (s *schedule) mustNotGet(e routetable.Endpoint) string {
	if s.leaves(e) {
		return "it leaves"
	}
	if q := s.quiet[e.ID]; e.StartedAt <= q.startedAt && s.now.Before(q.until) {
		return "it wants none until " + q.until.String()
	}
	return ""
}

// list replaces the list with one that may be older or newer, in any part.
func (s *schedule) list() {
	s.listed = nil
	for i := range scheduleIDs {
		if rapid.IntRange(0, 3).Draw(s.T, "listed") == 0 {
			continue
		}
		e := endpoints(scheduleIDs)[i]
		e.StartedAt = int64(rapid.IntRange(1, 3).Draw(s.T, "startedAt"))
		e.Address = fmt.Sprintf("10.0.0.%d:1", (i+rapid.IntRange(0, 1).Draw(s.T, "address"))%scheduleIDs)
		s.listed = append(s.listed, e)
		s.sources[e.Address] = append(s.sources[e.Address], e)
	}
	s.pool.Update(s.now, s.listed)
}

func (s *schedule) place() {
	request := balance.Request{Exclude: map[string]bool{}}
	if rapid.Bool().Draw(s.T, "prompt") {
		request = longRequest(rapid.IntRange(0, 2).Draw(s.T, "part"))
		request.Exclude = map[string]bool{}
	}
	if id := rapid.IntRange(0, 2*scheduleIDs).Draw(s.T, "tried"); id < scheduleIDs {
		request.Exclude[fmt.Sprintf("e%d", id)] = true
	}
	eligible := slices.DeleteFunc(slices.Clone(s.listed), func(e routetable.Endpoint) bool {
		return request.Exclude[e.ID] || s.mustNotGet(e) != ""
	})
	choice := s.pool.Pick(s.now, request)
	switch {
	case choice == nil && len(eligible) > 0:
		s.Fatalf("no endpoint chosen, though %v may get the request", eligible)
	case choice == nil:
	case !slices.Contains(eligible, choice.Endpoint):
		s.Fatalf("%v chosen: %s", choice.Endpoint, s.mustNotGet(choice.Endpoint))
	default:
		s.placed = append(s.placed, choice)
	}
}

// take removes and returns a random element of choices, or returns nil.
func (s *schedule) take(choices *[]*balance.Choice) *balance.Choice {
	if len(*choices) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(*choices)-1).Draw(s.T, "choice")
	choice := (*choices)[i]
	*choices = slices.Delete(*choices, i, i+1)
	return choice
}

// send sends a placed request, unless its endpoint was withdrawn meanwhile.
func (s *schedule) send() {
	choice := s.take(&s.placed)
	if choice == nil {
		return
	}
	forbidden := s.mustNotGet(choice.Endpoint)
	withdrawn := choice.Withdrawn(s.now)
	if (withdrawn != balance.NotWithdrawn) != (forbidden != "") {
		s.Fatalf("%v withdrawn: %v, expected: %q", choice.Endpoint, withdrawn, forbidden)
	}
	if source := choice.CurrentFetchFrom(s.now); source != "" && !slices.ContainsFunc(s.sources[source], func(e routetable.Endpoint) bool { return s.mustNotGet(e) == "" }) {
		s.Fatalf("a fetch from %s, whose endpoints must get no request", source)
	}
	if withdrawn != balance.NotWithdrawn {
		choice.Done(s.now, balance.NotSent)
		return
	}
	s.sent = append(s.sent, choice)
}

// answer ends a running request with any result, and what the endpoint says of itself.
func (s *schedule) answer() {
	choice := s.take(&s.sent)
	if choice == nil {
		return
	}
	if rapid.IntRange(0, 9).Draw(s.T, "leaves") == 0 {
		s.leave(choice.Endpoint)
		choice.MarkLeaving(s.now, balance.OnFailure)
	}
	if rapid.IntRange(0, 4).Draw(s.T, "refuses") == 0 {
		s.refuse(choice)
		return
	}
	choice.Done(s.now, rapid.SampledFrom([]balance.Result{balance.Succeeded, balance.Failed, balance.Full, balance.Broken, balance.Unreachable, balance.Misrouted}).Draw(s.T, "result"))
}

func (s *schedule) leave(e routetable.Endpoint) { s.leaving[e.ID] = max(s.leaving[e.ID], e.StartedAt) }

func (s *schedule) refuse(choice *balance.Choice) {
	asked := rapid.SampledFrom([]time.Duration{-1, 0, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}).Draw(s.T, "retry after")
	if rapid.IntRange(0, 19).Draw(s.T, "absurd") == 0 {
		asked = math.MaxInt64
	}
	choice.Backoff(s.now, asked)
	choice.Done(s.now, balance.BackedOff)
	if asked <= 0 {
		return
	}
	next := quiet{startedAt: choice.StartedAt, until: s.now.Add(min(asked, time.Hour))}
	known := s.quiet[choice.ID]
	switch {
	case known.startedAt > choice.StartedAt && s.now.Before(known.until):
		return
	case known.startedAt == choice.StartedAt && known.until.After(next.until):
		return
	}
	s.quiet[choice.ID] = next
}

func (s *schedule) step() {
	switch rapid.IntRange(0, 19).Draw(s.T, "step") {
	case 0:
		s.list()
	case 1, 2:
		s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 299, 1000, 3000}).Draw(s.T, "ms")) * time.Millisecond)
	case 3:
		if len(s.sent) > 0 {
			s.sent[0].CrashProbeSucceeded(s.now)
		}
	case 4:
		if len(s.sent) > 0 {
			s.sent[0].CrashProbeFailed(s.now)
		}
	case 5:
		if len(s.listed) > 0 && rapid.IntRange(0, 5).Draw(s.T, "health check") == 0 {
			s.leave(s.listed[0])
			s.pool.MarkLeaving(s.now, s.listed[0], balance.OnHealthCheck)
		}
	case 6, 7, 8, 9, 10:
		s.send()
	case 11, 12, 13, 14:
		s.answer()
	default:
		s.place()
	}
}

// TestWithdrawalSchedules verifies on random schedules that no request is sent to a process that
// has answered that it leaves, or that it wants none until later, and that a request is placed
// if any other endpoint may have it. Each state's beginning and end are reported in turn.
func TestWithdrawalSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		s.list()
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			s.step()
		}
		s.pool.Update(s.now, nil)
		s.pool.Update(s.now.Add(2*time.Hour), nil)
		s.pool.Stats(s.now.Add(2 * time.Hour))
		for state, begun := range s.begun {
			if begun {
				t.Fatalf("the end of %v was not reported", state)
			}
		}
	})
}
