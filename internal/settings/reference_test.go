package settings_test

import (
	"os"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/settings"
)

// paths lists the fields of a settings type, nested ones with dots.
func paths(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		field := t.Field(i)
		path := prefix + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			out = append(out, paths(field.Type, path+".")...)
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
		for _, path := range paths(reflect.TypeFor[settings.Settings](), "") {
			Expect(string(reference)).To(ContainSubstring("`" + path + "`"))
		}
	})
})
