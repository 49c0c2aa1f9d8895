package settings_test

import (
	"os"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/settings"
)

// settingPaths returns the paths of all fields of a settings type; a dot separates nested keys.
func settingPaths(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		field := t.Field(i)
		path := prefix + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			out = append(out, settingPaths(field.Type, path+".")...)
			continue
		}
		out = append(out, path)
	}
	return out
}

var _ = Describe("docs/REFERENCE.md", func() {
	It("lists every setting", func() {
		reference, err := os.ReadFile("../../docs/REFERENCE.md")
		Expect(err).NotTo(HaveOccurred())
		for _, path := range settingPaths(reflect.TypeFor[settings.Settings](), "") {
			Expect(string(reference)).To(ContainSubstring("`" + path + "`"))
		}
	})
})
