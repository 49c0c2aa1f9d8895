package dispatch

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Endpoints calls endpoints; *endpoint.Client implements it. Errors are *endpoint.Error.
type Endpoints interface {
	Open(ctx context.Context, call endpoint.Call) (*endpoint.Stream, error)
	Do(ctx context.Context, call endpoint.PlainCall) (*endpoint.PlainAnswer, error)
}

// Retries decides what follows an attempt; *retry.Budget implements it.
type Retries interface {
	Started(now time.Time, workspace, pool string)
	Decide(now time.Time, attempt retry.Attempt) retry.Verdict
	AllowHedge(now time.Time, hedge retry.Hedge) bool
}

// Quarantine holds the evidence against requests; *quarantine.Register implements it.
type Quarantine interface {
	State(now time.Time, digest string) quarantine.State
	Crashed(now time.Time, endpoint string, running []string)
	Cleared(now time.Time, digest string)
}

// Progress hears of the tokens of running attempts, so that a new broker can be told of
// them; *broker.Broker implements it.
type Progress interface {
	Progress(askID string, outputTokens int)
}

// KeptAnswer is the whole answer of keyed work, as it went to the caller.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// HeldState says what became of keyed work that another request holds.
type HolderState string

const (
	// HeldKept means that the answer is kept.
	HolderStored HolderState = "kept"
	// HeldRunning means that the work is running.
	HolderRunning HolderState = "running"
	// HeldCompleted means that the work ran to its end and the answer is no longer kept.
	HolderCompleted HolderState = "completed"
	// HeldUnknown means that the work may have run: the holder is gone, or the work
	// ended without a whole answer.
	HolderUnknown HolderState = "unknown"
)

// Answers keeps the answers of keyed work and finds those of other daemons. All
// methods may be called concurrently.
type ResponseStore interface {
	// Begin notes that this daemon is about to dispatch the claim.
	Begin(c claim.Claim)
	// End notes the end of the dispatch; answer is nil unless it was whole and small enough.
	End(c claim.Claim, completed bool, answer *StoredResponse)
	// Find asks the holder, here or on its daemon.
	Find(ctx context.Context, holder claim.Claim) (StoredResponse, HolderState)
}

// Options configures a Dispatcher. Daemon, Broker, Endpoints, Retries and Quarantine are
// required; Claims and Answers are required for keyed work.
type Options struct {
	// Daemon and Incarnation name this process.
	Daemon      string
	Incarnation string
	Broker      routing.Broker
	// Progress defaults to Broker, if that implements it.
	Progress       Progress
	Claims         claim.Claims
	EndpointClient Endpoints
	RetryPolicy    Retries
	Quarantine     Quarantine
	ResponseStore  ResponseStore
	// Silence ends an attempt whose endpoint sends nothing for so long. Default 30 s.
	SilenceTimeout time.Duration
	// KeptAnswerBytes bounds one kept answer, in bytes. Default 1 MiB.
	KeptAnswerBytes int
	// Clock defaults to the real one.
	Clock clockwork.Clock
	// Logger defaults to logrus's standard logger.
	Logger *logrus.Logger
	// Scope defaults to one that drops everything.
	Scope tally.Scope
}

// Defaults of Options.
const (
	DefaultSilence         = 30 * time.Second
	DefaultKeptAnswerBytes = 1 << 20
)

func (o Options) withDefaults() Options {
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = DefaultSilence
	}
	if o.KeptAnswerBytes <= 0 {
		o.KeptAnswerBytes = DefaultKeptAnswerBytes
	}
	if o.Progress == nil {
		o.Progress, _ = o.Broker.(Progress)
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
