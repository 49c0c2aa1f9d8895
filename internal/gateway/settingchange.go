package gateway

import (
	"fmt"
	"reflect"
	"strings"
)

// effect says when a changed setting takes effect.
type effect int

const (
	// atRestart is the effect of settings that a running process can't change, such as the
	// addresses on which it listens and is known to its peers.
	atRestart effect = iota
	// atReload is the effect of settings that Gateway.apply puts in force.
	atReload
)

// settingEffects holds the effect of each field of Settings, by its path.
var settingEffects = map[string]effect{
	"vm.id":                    atRestart,
	"vm.data_centre":           atRestart,
	"vm.memory_mb":             atReload,
	"callers.listen":           atRestart,
	"readiness.listen":         atRestart,
	"metrics.listen":           atRestart,
	"peers.address":            atRestart,
	"peers.gossip_port":        atRestart,
	"peers.fetch_port":         atRestart,
	"peers.seeds":              atReload,
	"platform.url":             atReload,
	"platform.token":           atReload,
	"platform.timeout":         atReload,
	"platform.poll_wait":       atReload,
	"retries.ratio":            atReload,
	"retries.slack":            atReload,
	"retries.window":           atReload,
	"drain.grace":              atReload,
	"duties.names":             atRestart,
	"duties.url":               atRestart,
	"duties.calls_per_second":  atRestart,
	"duties.lease":             atRestart,
	"duties.usage_window":      atRestart,
	"duties.usage_due":         atRestart,
	"drill.cut_from_endpoints": atReload,
	"drill.cut_from_peers":     atReload,
	"log.level":                atReload,
}

// secretSetting is the path of the setting whose value is not logged.
const secretSetting = "platform.token"

// changeSettings decides what becomes of the settings of a running gateway when its file holds next.
// It returns the settings in force from now on, the changes that are in them, and those that need a
// restart. A change that waits for a restart is reported again for each file that holds it.
func changeSettings(running, next Settings) (inForce Settings, applied, waiting []string) {
	inForce = next
	walkSettings("", reflect.ValueOf(running), reflect.ValueOf(next), reflect.ValueOf(&inForce).Elem(), func(path string, old, wanted, result reflect.Value) {
		if sameSetting(old, wanted) {
			return
		}
		change := fmt.Sprintf("%s: %v to %v", path, old, wanted)
		if path == secretSetting {
			change = path
		}
		if settingEffects[path] == atReload {
			applied = append(applied, change)
			return
		}
		result.Set(old)
		waiting = append(waiting, change)
	})
	return inForce, applied, waiting
}

// walkSettings calls visit for each field that is no struct, with its path and its values.
func walkSettings(path string, running, next, result reflect.Value, visit func(path string, running, next, result reflect.Value)) {
	if running.Kind() != reflect.Struct {
		visit(path, running, next, result)
		return
	}
	for i := range running.NumField() {
		name := strings.TrimPrefix(path+"."+running.Type().Field(i).Tag.Get("json"), ".")
		walkSettings(name, running.Field(i), next.Field(i), result.Field(i), visit)
	}
}

// sameSetting reports whether two values of a setting are equal; an empty list equals none.
func sameSetting(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}
