package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/duty"
	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/telemetry"
	"github.com/primrosewell/primrosewell/internal/usage"
)

const (
	// usageCollection and usageObject name the object with the sums of usage reports.
	usageCollection, usageObject = "usage-sums", "windows"
	// usageInterval is the interval at which the holder looks for something to do, and at which each
	// gateway reads its clock.
	usageInterval = 200 * time.Millisecond
	// usageStoreTimeout bounds a call to the store: some of them must fit between the sealing of a window
	// and the time at which its report is due.
	usageStoreTimeout = time.Second
	// usageSendTimeout bounds a report, for the same reason.
	usageSendTimeout = 2 * time.Second
	// maxUsageSteps bounds the calls of one round; what is left follows in the next one.
	maxUsageSteps = 16
	// usageFlushTime is how long a gateway whose requests have ended stays to send its last counts: one
	// interval of its messages.
	usageFlushTime = gossip.Interval + 20*time.Millisecond
)

// usageReports counts the requests of this gateway, exchanges the counts with the others and, while this
// gateway holds the duty, reports them to the platform.
type usageReports struct {
	// self has the incarnation of this gateway's messages: under two names, its requests would count twice.
	self     usage.Process
	clock    *usage.Clock
	counter  *usage.Counter
	totals   *usage.Totals
	reporter *usage.Reporter
	encode   func(window int64, counts map[string]int64) (adapter.DutyCall, error)
	store    platform.Store
	// watching reports whether the other gateways send their counts to this one, and expected returns the
	// number of gateways that do, this one included.
	watching func() bool
	expected func(now time.Time) int
	log      *logrus.Logger
	scope    tally.Scope
	failures telemetry.LineLimit
}

// newUsageReports returns nil if usage reports are no duty.
func (g *Gateway) newUsageReports(i do.Injector) (*usageReports, error) {
	duties := g.options.Adapter.Duties
	if duties == nil || !slices.ContainsFunc(g.settings.Duties.Names, func(name string) bool {
		kind, known := duties.Kind(name)
		return known && kind == adapter.UsageReports
	}) {
		return nil, nil //nolint:nilnil // No duty is no failure.
	}
	windows := usage.Windows{Length: g.settings.Duties.UsageWindow, Due: g.settings.Duties.UsageDue}
	var problems catalog.Problems
	if windows.Length <= 0 || windows.Due <= 0 {
		problems.Add("duties", g.settings.Duties, "a usage window and a time until it is due above zero")
		return nil, problems.Err("settings refused")
	}
	client, err := do.Invoke[*platform.Client](i)
	if err != nil {
		return nil, err
	}
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	clock := usage.NewClock(bootTime(), time.Now())
	totals := usage.NewTotals(windows)
	return &usageReports{
		self: usage.Process{Node: g.settings.VM.ID}, clock: clock,
		counter: usage.NewCounter(windows, clock), totals: totals, reporter: usage.NewReporter(windows, totals),
		encode: duties.UsageReport, store: client, watching: g.announces, expected: g.members.ObservedCount,
		log: g.log, scope: metrics.Scope.SubScope("usage"),
	}, nil
}

// Began counts a request that an endpoint began to run.
func (u *usageReports) Began(at time.Time, workspace string) {
	u.counter.Began(bootTime()-time.Since(at), workspace)
}

// Clock implements gossip.UsageExchange.
func (u *usageReports) Clock() usage.Report { return u.counter.Clock(bootTime()) }

// Reports implements gossip.UsageExchange.
func (u *usageReports) Reports() []usage.Report { return u.counter.Reports(bootTime()) }

// HandleReport implements gossip.UsageExchange.
func (u *usageReports) HandleReport(from usage.Process, report usage.Report) (missing []int64) {
	boot := bootTime()
	u.clock.ObservePeer(boot, from.Node, time.Unix(0, report.Clock), report.Confirmed)
	u.counter.Resend(report.Missing)
	now, confirmed := u.clock.At(boot)
	if !confirmed {
		return nil
	}
	return u.totals.Apply(now, from, report)
}

// observe reads the clock and adds this gateway's own counts, until ctx ends. It calls nobody, so that a
// slow platform does not delay it.
func (u *usageReports) observe(ctx context.Context) {
	logged := false
	for ctx.Err() == nil {
		boot := bootTime()
		u.clock.Observe(boot, time.Now())
		now, confirmed := u.clock.At(boot)
		if confirmed {
			u.totals.Listen(now, u.watching())
			u.totals.Apply(now, u.self, u.counter.Own(boot))
		}
		if confirmed && !logged {
			logged = true
			u.log.WithFields(logrus.Fields{"event": "usage_clock", "difference": time.Since(now)}).Info("the clock for usage reports is confirmed")
		}
		u.scope.Gauge("clock_difference_seconds").Update(time.Since(now).Seconds())
		u.scope.Gauge("late").Update(float64(u.totals.Late()))
		sleep(ctx, usageInterval)
	}
}

// report stores and reports the sums while this gateway holds the duty, until ctx ends.
func (u *usageReports) report(ctx context.Context, lease duty.Lease, caller duty.Caller) {
	for ctx.Err() == nil {
		for range maxUsageSteps {
			if !u.step(ctx, lease, caller) {
				break
			}
		}
		sleep(ctx, usageInterval)
	}
}

// step carries out the next action. It returns false if there is nothing to do.
func (u *usageReports) step(ctx context.Context, lease duty.Lease, caller duty.Caller) bool {
	now, confirmed := u.clock.At(bootTime())
	if !confirmed {
		return false
	}
	grant, held := lease.Held(time.Now())
	action := u.reporter.Next(now, grant, held, u.expected(time.Now()))
	u.handleNotices()
	switch action.Kind {
	case usage.Read:
		u.read(ctx)
	case usage.Write:
		u.write(ctx, action)
	case usage.Send:
		u.send(ctx, caller, action)
	default:
		return false
	}
	u.handleNotices()
	return ctx.Err() == nil
}

func (u *usageReports) trueNow() time.Time {
	now, _ := u.clock.At(bootTime())
	return now
}

// read reads the record. It lists the collection, as only a list states the platform's era.
func (u *usageReports) read(ctx context.Context) {
	list, err := u.store.List(platform.WithCallTimeout(ctx, usageStoreTimeout), usageCollection, "")
	if err != nil {
		u.logFailure(ctx, "usage_not_read", err)
		u.reporter.ReadFailed(u.trueNow())
		return
	}
	o, exists := lo.Find(list.Items, func(o platform.Object) bool { return o.Name == usageObject })
	if !exists {
		u.reporter.Loaded(u.trueNow(), list.Era, 0, usage.Record{}, true)
		return
	}
	record, err := usage.DecodeRecord(o.Data)
	if err != nil {
		u.logFailure(ctx, "usage_unreadable", err)
	}
	u.reporter.Loaded(u.trueNow(), list.Era, o.Version, record, err == nil)
}

func (u *usageReports) write(ctx context.Context, action usage.Action) {
	data, complete, err := usage.EncodeRecord(action.Record)
	if err != nil {
		u.logFailure(ctx, "usage_not_stored", err)
		u.reporter.Refused(u.trueNow())
		return
	}
	if !complete {
		u.logFailure(ctx, "usage_record_too_large", errRecordTooLarge)
	}
	o := platform.Object{Collection: usageCollection, Name: usageObject, Version: action.Version, Data: data}
	ctx = platform.WithCallTimeout(ctx, usageStoreTimeout)
	var stored platform.Object
	if action.Version == 0 {
		stored, err = u.store.Create(ctx, o)
	} else {
		stored, err = u.store.Update(ctx, o)
	}
	u.scope.Counter("writes").Inc(1)
	u.scope.Counter("written_bytes").Inc(int64(len(data)))
	switch {
	case err == nil:
		u.reporter.Written(stored.Version)
		return
	case slices.Contains([]platform.Reason{platform.RateLimited, platform.Unavailable}, platform.ReasonOf(err)):
		u.reporter.Refused(u.trueNow())
	default:
		u.reporter.Doubtful(u.trueNow())
	}
	u.logFailure(ctx, "usage_not_stored", err)
}

// errRecordTooLarge says why counts of open windows are not stored.
var errRecordTooLarge = errors.New("the counts of open windows are not stored, as the record would be too large")

func (u *usageReports) send(ctx context.Context, caller duty.Caller, action usage.Action) {
	call, err := u.encode(action.Window, action.Counts)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, usageSendTimeout)
		defer cancel()
		err = caller.Call(ctx, call)
	}
	if err != nil {
		u.logFailure(ctx, "usage_not_reported", err)
		u.reporter.NotSent(u.trueNow(), action.Window)
		return
	}
	u.reporter.Sent(action.Window)
	u.scope.Counter("reported").Inc(1)
	u.log.WithFields(usageFields("usage_reported", action.Window, action.Counts)).Info("the requests of a window were reported")
}

// handleNotices logs what the reporter decided, and tells the other gateways the final sums.
func (u *usageReports) handleNotices() {
	for _, n := range u.reporter.Notices() {
		u.scope.Counter(string(n.Kind)).Inc(1)
		line := u.log.WithFields(usageFields("usage_"+string(n.Kind), n.Window, n.Counts))
		switch n.Kind {
		case usage.SumStored, usage.SumFound:
			u.counter.Announce(n.Window, n.Counts)
			line.Info("the requests of a window are final and stored at the platform")
		case usage.WindowMissed:
			line.Warn("the requests of a window could not be stored before they were due; they are not reported")
		case usage.WindowsSkipped:
			line.Warn("the platform's record is missing or from an older copy; windows up to this one are not reported unless their sums are known")
		case usage.SumsDiffer:
			line.Error("the platform holds another sum of a window than this gateway knows")
		}
	}
}

func usageFields(event string, window int64, counts map[string]int64) logrus.Fields {
	return logrus.Fields{"event": event, "window": window, "workspaces": len(counts), "requests": lo.Sum(lo.Values(counts))}
}

func (u *usageReports) logFailure(ctx context.Context, event string, err error) {
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	u.scope.Tagged(map[string]string{"event": event}).Counter("failures").Inc(1)
	if withheld, allowed := u.failures.Allow(time.Now(), event); allowed {
		u.log.WithFields(logrus.Fields{"event": event, "withheld": withheld, "error": telemetry.Shorten(err.Error())}).Warn("a step of a usage report failed; it is tried again")
	}
}

// startUsage starts what usage reports need. Without the duty's lease this gateway only counts.
func (g *Gateway) startUsage(ctx context.Context) {
	u := do.MustInvoke[*usageReports](g.injector)
	if u == nil {
		return
	}
	go u.observe(ctx)
	lease, err := do.Invoke[duty.Lease](g.injector)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "usage_no_lease", "error": err}).Error("this gateway can't get the duty of usage reports; it counts for the others only")
		return
	}
	go u.report(ctx, lease, do.MustInvoke[duty.Caller](g.injector))
}

// flushUsage sends the last counts of a gateway that stops.
func (g *Gateway) flushUsage(ctx context.Context) {
	if do.MustInvoke[*usageReports](g.injector) != nil {
		sleep(ctx, usageFlushTime)
	}
}
