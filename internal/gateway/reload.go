package gateway

import (
	"bytes"
	"context"
	"math"
	"os"
	"runtime/debug"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/retry"
)

// Log returns the gateway's logger.
func (g *Gateway) Log() *logrus.Logger { return g.log }

// settingsPollInterval is the interval at which the settings file is checked for changes
// that no signal announces.
const settingsPollInterval = 2 * time.Second

// WatchSettings reloads the settings file whenever its content changes, until ctx ends.
func (g *Gateway) WatchSettings(ctx context.Context, file string) {
	last, err := os.ReadFile(file)
	for ctx.Err() == nil {
		sleep(ctx, settingsPollInterval)
		data, readErr := os.ReadFile(file)
		if readErr != nil {
			if err == nil {
				g.log.WithFields(logrus.Fields{"event": "settings_unreadable", "file": file, "error": readErr}).Warn("the settings file can't be read; the current settings stay in force")
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

// Reload reads the settings file, puts in force what can change at run time and names the changes
// that need a restart; see settingEffects. If the file is invalid, the current settings stay in force.
func (g *Gateway) Reload(file string) {
	g.reloading.Lock()
	defer g.reloading.Unlock()
	s, err := LoadSettings(file)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "reload_failed", "file": file, "error": err}).Error("the settings file is invalid; the current settings stay in force")
		return
	}
	running := *g.inForce.Load()
	s, applied, waiting := changeSettings(running, s)
	g.inForce.Store(&s)
	g.apply(s)
	if s.Platform.URL != running.Platform.URL {
		do.MustInvoke[*watcher](g.injector).Relist()
	}
	g.log.WithFields(logrus.Fields{"event": "reload", "file": file, "changed": applied, "retry_ratio": s.Retries.Ratio, "retry_slack": s.Retries.Slack, "seeds": s.Peers.Seeds}).Info("settings reloaded")
	if len(waiting) > 0 {
		g.log.WithFields(logrus.Fields{"event": "restart_needed", "file": file, "changed": waiting}).Warn("these changes of the settings take effect at the next start")
	}
}

// apply puts the settings in force that take effect at a reload, but for those that are read from
// inForce when they are used.
func (g *Gateway) apply(s Settings) {
	setMemoryLimit(s.VM.MemoryMB)
	do.MustInvoke[*retry.SharedBudget](g.injector).SetBounds(time.Now(), s.Retries.Ratio, s.Retries.Slack, s.Retries.Window)
	p := s.Platform
	do.MustInvoke[*platform.Client](g.injector).SetAccess(platform.Access{BaseURL: p.URL, Token: p.Token, Timeout: p.Timeout, PollWait: p.PollWait})
	g.members.AddSeeds(time.Now(), s.Peers.seedAddresses())
	if mode := s.Drill.CutFromEndpoints; g.drill.set(mode) {
		g.log.WithFields(logrus.Fields{"event": "drill", "cut_from_endpoints": mode}).Warn("a drill begins or ends")
		if mode != "" {
			dialer := do.MustInvoke[*httpio.Dialer](g.injector)
			for _, e := range g.directory.Endpoints() {
				dialer.CloseIdle(e.Address)
			}
		}
	}
	if peers := s.Drill.CutFromPeers; g.drill.setPeers(peers) {
		g.log.WithFields(logrus.Fields{"event": "drill", "cut_from_peers": peers}).Warn("a drill begins or ends")
	}
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		g.log.SetLevel(level)
	}
}

// setMemoryLimit sets the soft limit of the garbage collector for a process that may use this much
// memory, in MB; 0 means no limit.
func setMemoryLimit(mb int) {
	limit := int64(math.MaxInt64)
	if mb > 0 {
		limit = int64(float64(mb) * memoryLimitShare * math.Pow(2, 20))
	}
	debug.SetMemoryLimit(limit)
}
