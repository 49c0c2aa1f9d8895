package telemetry

import (
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
)

// BuildFields describe this program and its machine: the revision that it was built from (empty if
// the build left it out) and whether its sources were modified, when its file was written, the
// architecture, and the processors that it may use. They distinguish a build that was carried over, or a
// slower machine, from the expected one.
func BuildFields() logrus.Fields {
	fields := logrus.Fields{"arch": runtime.GOARCH, "go": runtime.Version(), "processors": runtime.GOMAXPROCS(0), "revision": "", "modified": false, "built_at": ""}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				fields["revision"] = s.Value
			case "vcs.modified":
				fields["modified"] = s.Value == "true"
			}
		}
	}
	if path, err := os.Executable(); err == nil {
		if file, err := os.Stat(path); err == nil {
			fields["built_at"] = file.ModTime().UTC().Format(time.RFC3339)
		}
	}
	return fields
}
