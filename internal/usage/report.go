package usage

// Report is what a gateway process tells the gateways that watch the platform. Its counts are totals of
// the process, so that a message that is lost or repeated does no harm.
type Report struct {
	// Clock is the sender's true time in Unix ns, and Confirmed is set if peers have confirmed it.
	Clock     int64 `cbor:"1,keyasint"`
	Confirmed bool  `cbor:"2,keyasint,omitempty"`
	// Windows are the recent windows in which the sender has counted requests. A window is listed in
	// each report, so that the receiver knows from its sum whether it has all counts.
	Windows []WindowCounts `cbor:"3,keyasint,omitempty"`
	// Sealed are final sums over all gateways, which the sender has stored at the platform.
	Sealed []WindowCounts `cbor:"4,keyasint,omitempty"`
	// More is set if counts follow in another report, so that those that are missing are not asked for.
	More bool `cbor:"5,keyasint,omitempty"`
	// Missing are windows whose counts the receiver is asked to send again.
	Missing []int64 `cbor:"6,keyasint,omitempty"`
}

// WindowCounts are the requests of some workspaces in a window.
type WindowCounts struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	// Sum is the number of requests of all workspaces, also of those that are not listed here, and
	// Workspaces their number.
	Sum        int64
	Workspaces int
	// Names and Counts are the workspaces of this message and their counts.
	Names  []string
	Counts []int64
}

const (
	// reportOverhead bounds the bytes of an encoded report without its windows, windowOverhead those of a
	// window without its counts, and entryOverhead those of a count without the workspace's name.
	reportOverhead, windowOverhead, entryOverhead = 20, 32, 11
	// MaxReportBytes bounds an encoded report. With the state of the sender it fits into a datagram.
	MaxReportBytes = 900
	// MaxReports bounds the reports of one interval. A process with counts of 1,700 workspaces sends them
	// all within a second.
	MaxReports = 8
)

// packer distributes counts over reports of bounded size.
type packer struct {
	reports []Report
	head    Report
	size    int
}

func newPacker(head Report) *packer {
	p := &packer{head: head}
	p.next()
	return p
}

func (p *packer) next() {
	p.reports = append(p.reports, p.head)
	p.size = reportOverhead
}

// reserve makes room for n bytes; it returns false if no further report is allowed.
func (p *packer) reserve(n int) (fresh, ok bool) {
	if p.size+n > MaxReportBytes {
		if len(p.reports) == MaxReports {
			return false, false
		}
		p.next()
		fresh = true
	}
	p.size += n
	return fresh, true
}

// add adds a window with the named counts and returns the names that found room.
func (p *packer) add(header WindowCounts, names []string, counts map[string]int64, list func(*Report) *[]WindowCounts) (added []string) {
	if _, ok := p.reserve(windowOverhead); !ok {
		return nil
	}
	open := func() *WindowCounts {
		windows := list(&p.reports[len(p.reports)-1])
		*windows = append(*windows, header)
		return &(*windows)[len(*windows)-1]
	}
	current := open()
	for _, name := range names {
		fresh, ok := p.reserve(len(name) + entryOverhead)
		if !ok {
			return added
		}
		if fresh {
			p.size += windowOverhead
			current = open()
		}
		current.Names, current.Counts = append(current.Names, name), append(current.Counts, counts[name])
		added = append(added, name)
	}
	return added
}

func countsOf(r *Report) *[]WindowCounts { return &r.Windows }

func sealedOf(r *Report) *[]WindowCounts { return &r.Sealed }
