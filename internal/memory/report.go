package memory

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// Report counts a refusal, and logs it unless a line of its kind was written within the minute.
func Report(log *logrus.Logger, scope tally.Scope, lines *telemetry.LineLimit, r Refusal) {
	action := "refused"
	if r.GaveWay {
		action = "gave_way"
	}
	scope.SubScope("held").Tagged(map[string]string{"class": r.Class.String(), "lacks": string(r.Shortage), "action": action}).Counter("refusals").Inc(1)
	withheld, allowed := lines.Allow(time.Now(), r.Class.String()+" "+string(r.Shortage)+" "+action)
	if !allowed {
		return
	}
	log.WithFields(logrus.Fields{
		"event": "no_room", "action": action, "class": r.Class, "lacks": r.Shortage, "state": r.State, "bytes": r.Bytes, "remote": r.Remote, "withheld": withheld,
	}).Warn("too much is held for others; a connection was refused or had to give way")
}

// UpdateGauges sets the gauges of an account.
func UpdateGauges(scope tally.Scope, a *Account) {
	scope = scope.SubScope("held")
	totals, limits := a.Totals(), a.Limits()
	scope.Gauge("bytes").Update(float64(totals.Bytes))
	scope.Gauge("bytes_limit").Update(float64(limits.Bytes))
	released, collections := a.Released()
	scope.Gauge("released_bytes").Update(float64(released))
	scope.Gauge("collections").Update(float64(collections))
	scope.Gauge("descriptors_limit").Update(float64(limits.Descriptors))
	for class, connections := range totals.Connections {
		scope.Tagged(map[string]string{"class": Class(class).String()}).Gauge("connections").Update(float64(connections))
	}
}
