package bench

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/scheduling/check"
)

// Report is the outcome of one run.
type Report struct {
	Options Options
	Pools   []PoolReport
}

// PoolReport is the outcome for one service.
type PoolReport struct {
	Pool string
	// Goodput is the work of the answers that callers received whole, as a share of capacity.
	Goodput float64
	// InTarget is the part of Goodput that met its latency target.
	InTarget float64
	// Wasted is the share of the computation that was spent on answers nobody received.
	Wasted float64
	// Inversions counts the requests that were refused or given up while lower tiers
	// were started beyond their floors.
	Inversions int
	// Violations counts breaches of the rule in the recorded decisions.
	Violations int
	Classes    []ClassReport
}

// ClassReport is the outcome for one class.
type ClassReport struct {
	Class string
	Tier  catalog.Tier
	// Offered counts the requests sent, resends included; Originals excludes them.
	Offered   int
	Originals int
	// Attained is the share of the requests that met the latency target.
	Attained float64
	// Answered is the share of the originals that were answered whole in the end.
	Answered float64
	// Refused, Left and Failed are shares of the requests.
	Refused float64
	Left    float64
	Failed  float64
	// LongestWait is the longest time from arrival until an engine began, or the end.
	LongestWait time.Duration
	// Share is the class's part of the pool's starts, Floor what it is guaranteed.
	Share float64
	Floor float64
	// Starved is true if the class was refused work and got less than its floor, by
	// more than the dispatches that a floor may run behind.
	Starved bool
}

func measure(s *simulation, options Options) Report {
	report := Report{Options: options}
	for _, p := range s.pools {
		report.Pools = append(report.Pools, measurePool(s, p))
	}
	return report
}

func measurePool(s *simulation, p *poolModel) PoolReport {
	capacity := capacityOf(s.size, p.spec)
	window := (loadEnd - warmUp).Seconds()
	goodput, inTarget := 0.0, 0.0
	for _, j := range p.jobs {
		if j.ending != endCompleted || j.ended < warmUp || j.ended >= loadEnd {
			continue
		}
		goodput += j.cost()
		if j.attained() {
			inTarget += j.cost()
		}
	}
	return PoolReport{
		Pool:       p.spec.name,
		Goodput:    goodput / (capacity * window),
		InTarget:   inTarget / (capacity * window),
		Wasted:     wasted(p),
		Inversions: inversions(p),
		Violations: p.router.violations(),
		Classes:    measureClasses(p),
	}
}

func measureClasses(p *poolModel) []ClassReport {
	starts := lo.Filter(p.starts, func(x start, _ int) bool { return x.at >= warmUp && x.at < loadEnd })
	var reports []ClassReport
	for i := range p.spec.classes {
		c := &p.spec.classes[i]
		jobs := lo.Filter(p.jobs, func(j *job, _ int) bool { return j.class == c && j.sent >= warmUp && j.sent < loadEnd })
		report := measureClass(c, jobs)
		own := lo.CountBy(starts, func(x start) bool { return x.class == c })
		report.Share = float64(own) / float64(max(1, len(starts)))
		short := report.Floor*float64(len(starts)) - float64(own)
		report.Starved = report.Refused+report.Left > 0 && short > check.FloorCredit
		reports = append(reports, report)
	}
	return reports
}

func measureClass(c *classSpec, jobs []*job) ClassReport {
	roots := lo.Filter(jobs, func(j *job, _ int) bool { return j.root == j })
	share := func(list []*job, f func(*job) bool) float64 {
		return float64(lo.CountBy(list, f)) / float64(max(1, len(list)))
	}
	ended := func(end ending) float64 { return share(jobs, func(j *job) bool { return j.ending == end }) }
	return ClassReport{
		Class:       c.name,
		Tier:        c.tier,
		Offered:     len(jobs),
		Originals:   len(roots),
		Attained:    share(jobs, (*job).attained),
		Answered:    share(roots, func(j *job) bool { return j.answered }),
		Refused:     ended(endRefused),
		Left:        ended(endLeft),
		Failed:      ended(endFailed),
		LongestWait: lo.Max(lo.Map(jobs, func(j *job, _ int) time.Duration { return j.waited() })),
		Floor:       c.floor / 100,
	}
}

// attained reports whether the whole answer came and met the target.
func (j *job) attained() bool {
	if j.ending != endCompleted {
		return false
	}
	if j.class.target.FirstTokenMS > 0 {
		return j.firstToken-j.sent <= j.class.limit()
	}
	return j.ended-j.sent <= j.class.limit()
}

// waited is the time from arrival until an engine began, or the end.
func (j *job) waited() time.Duration {
	switch {
	case j.started > 0:
		return j.started - j.arrived
	case j.ending != "":
		return j.ended - j.arrived
	default:
		return runEnd - j.arrived
	}
}

// wasted is the share of the computation spent on answers nobody received, and on
// reading prompts again after a failure.
func wasted(p *poolModel) float64 {
	total, lost := 0.0, 0.0
	for _, j := range p.jobs {
		for i, a := range j.attempts {
			if a.seq == nil {
				continue
			}
			total += a.seq.spent
			switch {
			case j.ending != endCompleted:
				lost += a.seq.spent
			case i < len(j.attempts)-1:
				lost += max(0, a.seq.spent-float64(a.seq.produced)*p.spec.engine.decodeCost())
			}
		}
	}
	if total == 0 {
		return 0
	}
	return lost / total
}
