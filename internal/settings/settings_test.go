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

// exampleWith returns the example file with the field at path set to value.
func exampleWith(value any, path ...string) []byte {
	var file map[string]any
	Expect(json.Unmarshal(settings.Example(), &file)).To(Succeed())
	section := file
	for _, key := range path[:len(path)-1] {
		if _, ok := section[key]; !ok {
			section[key] = map[string]any{}
		}
		section = section[key].(map[string]any)
	}
	section[path[len(path)-1]] = value
	data, err := json.Marshal(file)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("Parse", func() {
	It("accepts the example and fills in defaults", func() {
		s, err := settings.Parse(settings.Example())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Drain.NoticePeriod).To(Equal(3 * time.Second))
		Expect(s.Callers.MaxBodyBytes).To(Equal(4 << 20))
	})

	DescribeTable("refuses invalid input and names the field, the value found and what is allowed",
		func(data []byte, substrings ...string) {
			_, err := settings.Parse(data)
			Expect(failure.CodeOf(err)).To(Equal(failure.InvalidObject))
			for _, m := range substrings {
				Expect(err.Error()).To(ContainSubstring(m))
			}
		},
		Entry("unknown field", exampleWith(1, "callers", "lisen"), "callers.lisen", "unknown field", "listen"),
		Entry("unknown section", exampleWith(1, "caller"), "caller", "unknown field"),
		Entry("no unit", exampleWith(30, "callers", "read_timeout"), "callers.read_timeout", "30", "unit"),
		Entry("wrong unit", exampleWith("30sec", "drain", "notice"), "drain.notice", "30sec"),
		Entry("host name", exampleWith("localhost:80", "admin", "listen"), "admin.listen", "localhost:80", "IP number"),
		Entry("fraction", exampleWith(1.5, "limits", "attempts"), "limits.attempts", "1.5", "whole number"),
		Entry("wrong type", exampleWith("many", "limits", "attempts"), "limits.attempts"),
		Entry("missing certificate file", exampleWith(map[string]any{"cert_file": "/nonexistent/c", "key_file": "/nonexistent/k"}, "callers", "tls"), "callers.tls.cert_file", "callers.tls.key_file"),
		Entry("missing secret file", exampleWith("/nonexistent/token", "platform", "token_file"), "platform.token_file", "no such file"),
		Entry("no operators", exampleWith([]any{}, "admin", "operators"), "admin.operators", "at least one"),
		Entry("unspecified peer address", exampleWith("0.0.0.0:8082", "peers", "listen"), "peers.advertise"),
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
		Expect(json.Unmarshal(exampleWith(file, "peers", "shared_key_file"), &raw)).To(Succeed())
		raw["peers"].(map[string]any)["shared_key"] = ""
		data, _ := json.Marshal(raw)
		_, err := settings.Parse(data)
		Expect(err).To(MatchError(ContainSubstring("6 characters")))
		Expect(err.Error()).NotTo(ContainSubstring("sesame"))
	})
})
