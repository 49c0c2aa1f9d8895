package gateway

import (
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/retry"
)

// Log returns the gateway's logger.
func (g *Gateway) Log() *logrus.Logger { return g.log }

// Reload reads the settings file again and takes over what can change while the
// process runs: the retry budget, the seeds and the log level.
func (g *Gateway) Reload(file string) {
	s, err := LoadSettings(file)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "reload_failed", "file": file, "error": err}).Error("the settings in force stay")
		return
	}
	do.MustInvoke[*retry.Shared](g.parts).SetBounds(s.Retries.Ratio, s.Retries.Slack)
	g.members.AddSeeds(time.Now(), s.Peers.seedAddresses())
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		g.log.SetLevel(level)
	}
	g.log.WithFields(logrus.Fields{"event": "reload", "file": file, "retry_ratio": s.Retries.Ratio, "retry_slack": s.Retries.Slack, "seeds": s.Peers.Seeds}).Info("settings read again")
}
