package catalog_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

var _ = Describe("Decode", func() {
	DescribeTable("rejects invalid specs and names the field",
		func(kind catalog.Kind, spec string, mentions ...string) {
			_, _, err := catalog.Decode(kind, []byte(spec))
			Expect(failure.CodeOf(err)).To(Equal(failure.InvalidObject))
			for _, m := range mentions {
				Expect(err.Error()).To(ContainSubstring(m))
			}
		},
		Entry("unknown field", catalog.KindProfile, `{"name":"a","teir":1}`, "teir"),
		Entry("wrong type", catalog.KindProfile, `{"name":"a","tier":"high"}`, "tier", "string"),
		Entry("all problems at once", catalog.KindProfile, `{"name":"A!","tier":9}`, "name", "tier", "target"),
		Entry("no target", catalog.KindProfile, `{"name":"a","tier":1}`, "target"),
		Entry("two values", catalog.KindProfile, `{"name":"a","tier":1,"target":{"first_token_ms":1}} {}`, "one value"),
		Entry("truncated", catalog.KindProfile, `{"name":"a"`, "whole JSON"),
		Entry("plain key in place of a hash", catalog.KindWorkspace, `{"name":"w","key_hashes":["secret"]}`, "key_hashes[0]"),
		Entry("host name", catalog.KindEndpoint, `{"name":"e","service":"s","address":"host:80","data_centre":"d"}`, "address"),
		Entry("unknown kind", catalog.Kind("pool"), `{}`, "kind"),
	)

	It("does not include a key given in place of a hash in the failure", func() {
		_, _, err := catalog.Decode(catalog.KindWorkspace, []byte(`{"name":"w","key_hashes":["top-secret"]}`))
		Expect(err.Error()).NotTo(ContainSubstring("top-secret"))
	})

	It("accepts a complete profile", func() {
		name, _, err := catalog.Decode(catalog.KindProfile, []byte(`{"name":"pilot","tier":1,"target":{"first_token_ms":380}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(name).To(Equal("pilot"))
	})
})

var _ = Describe("Snapshot", func() {
	It("finds a workspace by key hash in either case and skips records that cannot be decoded", func() {
		hash := strings.Repeat("ab", 32)
		s, skipped := catalog.NewSnapshot(7, []catalog.Record{
			{Kind: catalog.KindWorkspace, Name: "w", Spec: []byte(`{"name":"w","key_hashes":["` + hash + `"]}`)},
			{Kind: catalog.KindProfile, Name: "bad", Spec: []byte(`{`)},
		})
		Expect(skipped).To(Equal([]string{"profile.bad"}))
		w, ok := s.WorkspaceByKeyHash(strings.ToUpper(hash))
		Expect(ok).To(BeTrue())
		Expect(w.Weight).To(Equal(catalog.DefaultWeight))
	})
})
