package balance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// Load pattern: all endpoints of a service name limits that are too small for all daemons, and then no
// longer. A daemon that shares none of them at that time sends no request by which it could learn that.

const (
	// limitEndRetention is how long the end of a limit is told to other daemons, and limitEndNews for how
	// long it is news, to be told at once.
	limitEndRetention, limitEndNews = 10 * time.Second, time.Second
	// limitEndMargin is the time that a message between daemons may take: the request is taken to have been sent
	// earlier than its age says, so that it never ends a limit that was named later.
	limitEndMargin = 500 * time.Millisecond
	// maxLimitEnds bounds the ends that are kept, and those in a message.
	maxLimitEnds = 32
)

// LimitEnd says that the response to a request that was sent Age ago named no limit, as daemons exchange it.
type LimitEnd struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  EndpointKey
	StartedAt int64
	Age       time.Duration
}

// LimitEnds holds the limits that ended lately, here or at other daemons. It is safe for concurrent use.
type LimitEnds struct {
	// OnMerge gets the ends that other daemons told of. It must be set before use.
	OnMerge func(now time.Time, ends []LimitEnd)

	mu     sync.Mutex
	sentAt map[process]time.Time
	grewAt time.Time
}

// process is one process of an endpoint.
type process struct {
	endpoint  EndpointKey
	startedAt int64
}

// NewLimitEnds returns an empty set.
func NewLimitEnds(onMerge func(now time.Time, ends []LimitEnd)) *LimitEnds {
	return &LimitEnds{OnMerge: onMerge, sentAt: map[process]time.Time{}}
}

// Ended records that the response of an endpoint to a request that was sent at sentAt ended its limit here.
func (l *LimitEnds) Ended(now time.Time, e routetable.Endpoint, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(now, process{KeyOf(e.ID), e.StartedAt}, sentAt)
}

// Merge adds what another daemon told of.
func (l *LimitEnds) Merge(now time.Time, ends []LimitEnd) {
	l.mu.Lock()
	for _, e := range ends {
		if e.Age >= 0 && e.Age < limitEndRetention {
			l.add(now, process{e.Endpoint, e.StartedAt}, now.Add(-e.Age))
		}
	}
	l.mu.Unlock()
	l.OnMerge(now, ends)
}

func (l *LimitEnds) add(now time.Time, p process, sentAt time.Time) {
	known, found := l.sentAt[p]
	if !found && len(l.sentAt) >= maxLimitEnds || sentAt.Sub(known) <= limitEndMargin {
		return // What other daemons tell on is later by the time that messages take.
	}
	l.sentAt[p] = sentAt
	if !found {
		l.grewAt = now
	}
}

// Recent returns the ends to tell other daemons of, the latest first.
func (l *LimitEnds) Recent(now time.Time) (ends []LimitEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, sentAt := range l.sentAt {
		if now.Sub(sentAt) >= limitEndRetention {
			delete(l.sentAt, p)
			continue
		}
		ends = append(ends, LimitEnd{Endpoint: p.endpoint, StartedAt: p.startedAt, Age: now.Sub(sentAt)})
	}
	slices.SortFunc(ends, func(a, b LimitEnd) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return ends
}

// IsNews reports whether an end was added within limitEndNews.
func (l *LimitEnds) IsNews(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.grewAt) < limitEndNews
}

// EndLimits ends the limits that were last named here before the request was sent to which another daemon
// had a response without one.
func (p *Pool) EndLimits(now time.Time, ends []LimitEnd) {
	p.mu.Lock()
	defer p.unlock()
	for _, l := range p.limits {
		ended := slices.ContainsFunc(ends, func(e LimitEnd) bool {
			return e.Endpoint == l.key && e.StartedAt == l.StartedAt && l.namedAt.Before(now.Add(-e.Age-limitEndMargin))
		})
		if ended {
			p.endLimit(now, l, ToldByPeer)
		}
	}
}
