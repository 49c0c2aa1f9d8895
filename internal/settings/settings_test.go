package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// changed returns the example file with one field set, by its path.
func changed(value any, path ...string) []byte {
	var file map[string]any
	Expect(json.Unmarshal(settings.Example(), &file)).To(Succeed())
	at := file
	for _, key := range path[:len(path)-1] {
		if _, ok := at[key]; !ok {
			at[key] = map[string]any{}
		}
		at = at[key].(map[string]any)
	}
	at[path[len(path)-1]] = value
	data, err := json.Marshal(file)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("Parse", func() {
	It("takes the example and completes it with defaults", func() {
		s, err := settings.Parse(settings.Example())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Drain.NoticePeriod).To(Equal(3 * time.Second))
		Expect(s.Callers.MaxBodyBytes).To(Equal(4 << 20))
	})

	DescribeTable("refuses and names the field, what was found and what is allowed",
		func(data []byte, mentions ...string) {
			_, err := settings.Parse(data)
			Expect(failure.CodeOf(err)).To(Equal(failure.InvalidObject))
			for _, m := range mentions {
				Expect(err.Error()).To(ContainSubstring(m))
			}
		},
		Entry("unknown field", changed(1, "callers", "lisen"), "callers.lisen", "unknown field", "listen"),
		Entry("unknown section", changed(1, "caller"), "caller", "unknown field"),
		Entry("no unit", changed(30, "callers", "read_timeout"), "callers.read_timeout", "30", "unit"),
		Entry("wrong unit", changed("30sec", "drain", "notice"), "drain.notice", "30sec"),
		Entry("host name", changed("localhost:80", "admin", "listen"), "admin.listen", "localhost:80", "IP number"),
		Entry("fraction", changed(1.5, "limits", "attempts"), "limits.attempts", "1.5", "whole number"),
		Entry("wrong type", changed("many", "limits", "attempts"), "limits.attempts"),
		Entry("missing certificate file", changed(map[string]any{"cert_file": "/nonexistent/c", "key_file": "/nonexistent/k"}, "callers", "tls"), "callers.tls.cert_file", "callers.tls.key_file"),
		Entry("missing secret file", changed("/nonexistent/token", "platform", "token_file"), "platform.token_file", "no such file"),
		Entry("no operators", changed([]any{}, "admin", "operators"), "admin.operators", "at least one"),
		Entry("unspecified peer address", changed("0.0.0.0:8082", "peers", "listen"), "peers.advertise"),
		Entry("broken JSON", []byte(`{"vm":`), "whole JSON"),
	)

	It("reports every problem at once", func() {
		_, err := settings.Parse([]byte(`{"vm":{"id":"UP","extra":1},"callers":{"listen":7,"read_timeout":"5"}}`))
		for _, path := range []string{"vm.id", "vm.extra", "vm.data_centre", "callers.listen", "callers.read_timeout", "platform.url"} {
			Expect(err.Error()).To(ContainSubstring(path))
		}
	})

	It("reads a secret from a file and never prints one", func() {
		file := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(file, []byte("sesame\n"), 0o600)).To(Succeed())
		var raw map[string]any
		Expect(json.Unmarshal(changed(file, "peers", "shared_key_file"), &raw)).To(Succeed())
		raw["peers"].(map[string]any)["shared_key"] = ""
		data, _ := json.Marshal(raw)
		_, err := settings.Parse(data)
		Expect(err).To(MatchError(ContainSubstring("6 characters")))
		Expect(err.Error()).NotTo(ContainSubstring("sesame"))
	})
})
