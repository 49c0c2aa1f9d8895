package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/retry"
)

// Log returns the gateway's logger.
func (g *Gateway) Log() *logrus.Logger { return g.log }

// settingsPoll is the time between two looks at the settings file, which may change
// without a signal.
const settingsPoll = 2 * time.Second

// FollowSettings reloads the file whenever its content changes, until ctx ends.
func (g *Gateway) WatchSettings(ctx context.Context, file string) {
	last, err := os.ReadFile(file)
	for ctx.Err() == nil {
		sleep(ctx, settingsPoll)
		data, readErr := os.ReadFile(file)
		if readErr != nil {
			if err == nil {
				g.log.WithFields(logrus.Fields{"event": "settings_unreadable", "file": file, "error": readErr}).Warn("the settings in force stay")
			}
			err = readErr
			continue
		}
		if err = nil; !bytes.Equal(data, last) {
			last = data
			g.Reload(file)
		}
	}
}

// Reload reads the settings file again and takes over what can change while the
// process runs: the retry budget, the seeds and the log level.
func (g *Gateway) Reload(file string) {
	s, err := LoadSettings(file)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "reload_failed", "file": file, "error": err}).Error("the settings in force stay")
		return
	}
	do.MustInvoke[*retry.SharedBudget](g.parts).SetBounds(s.Retries.Ratio, s.Retries.Slack)
	g.members.AddSeeds(time.Now(), s.Peers.seedAddresses())
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		g.log.SetLevel(level)
	}
	g.log.WithFields(logrus.Fields{"event": "reload", "file": file, "retry_ratio": s.Retries.Ratio, "retry_slack": s.Retries.Slack, "seeds": s.Peers.Seeds}).Info("settings read again")
}
