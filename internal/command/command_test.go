package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/settings"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

// fakeObjects returns the result and error set by a test for every change.
type fakeObjects struct {
	result    distribution.ApplyResult
	err       error
	lastWrite distribution.WriteOptions
}

func (f *fakeObjects) Apply(_ context.Context, _ catalog.Kind, _ []byte, w distribution.WriteOptions) (distribution.ApplyResult, error) {
	f.lastWrite = w
	return f.result, f.err
}

func (f *fakeObjects) Delete(_ context.Context, _ catalog.Kind, _ string, w distribution.WriteOptions) (distribution.ApplyResult, error) {
	f.lastWrite = w
	return f.result, f.err
}

func (f *fakeObjects) Get(kind catalog.Kind, name string) (catalog.Record, error) {
	return catalog.Record{Kind: kind, Name: name, Version: 7, ChangedBy: "dba", Spec: []byte(pilot)}, f.err
}

func (f *fakeObjects) List(kind catalog.Kind) []catalog.Record {
	record, _ := f.Get(kind, "pilot")
	return []catalog.Record{record}
}

func (f *fakeObjects) Revision() int64 { return 9 }

const (
	operatorToken = "operator-token"
	pilot         = `{"name":"pilot","tier":1,"target":{"first_token_ms":380}}`
)

// startAdmin serves the admin API on loopback and returns its URL.
func startAdmin(objects *fakeObjects, drain func()) string {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := admin.New(admin.Options{
		Settings: settings.Admin{Operators: []settings.Operator{{Name: "dba", TokenHash: hashOf(operatorToken)}}},
		Objects:  objects,
		Status: func(context.Context) admin.Status {
			return admin.Status{
				VM: "entry-1", Revision: 9, InFlight: 2,
				Members: []admin.MemberStatus{{ID: "entry-1", State: "live", Revision: 9, InForce: true}},
				Pools:   []admin.PoolStatus{{Pool: "bulletin-llm", Broker: "entry-1", Classes: []admin.ClassStatus{{Class: "pilot", Tier: 1, Waiting: 3}}}},
			}
		},
		Drain:   drain,
		Ready:   func() error { return nil },
		Metrics: http.NotFoundHandler(),
		Log:     log,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return "http://" + listener.Addr().String()
}

// invoke runs the command line with the given standard input and arguments and returns
// its exit code, standard output and standard error.
func invoke(input string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	std := streams{in: strings.NewReader(input), out: &stdout, err: &stderr}
	code = run(context.Background(), append([]string{"primrosewell"}, args...), std)
	return code, stdout.String(), stderr.String()
}

var _ = Describe("Objects", func() {
	var objects *fakeObjects
	var url string

	BeforeEach(func() {
		objects = &fakeObjects{result: distribution.ApplyResult{Name: "pilot", Revision: 9, Version: 9, InForce: 3, Members: 3}}
		url = startAdmin(objects, func() {})
		GinkgoT().Setenv(adminVariable, url)
		GinkgoT().Setenv(tokenVariable, operatorToken)
	})

	It("prints the accepted revision and the number of members it is in force on", func() {
		code, out, _ := invoke(pilot, "profile", "apply", "-f", "-")
		Expect(code).To(Equal(exitOK))
		Expect(out).To(Equal("profile pilot: accepted at revision 9, in force on 3 of 3\n"))
		Expect(objects.lastWrite.ChangedBy).To(Equal("dba"))
	})

	It("lists the members on which a change is not in force yet", func() {
		objects.result.InForce, objects.result.Missing = 2, []string{"entry-3"}
		code, out, _ := invoke(pilot, "profile", "apply", "-f", "-")
		Expect(code).To(Equal(exitNotInForce))
		Expect(out).To(ContainSubstring("missing: entry-3"))
	})

	It("applies the output of get, and refuses to apply it as another kind", func() {
		code, _, _ := invoke(pilot, "profile", "apply", "-f", "-")
		Expect(code).To(Equal(exitOK))
		code, printed, _ := invoke("", "profile", "get", "pilot")
		Expect(code).To(Equal(exitOK))
		code, out, errOut := invoke(printed, "profile", "apply", "-f", "-")
		Expect(code).To(Equal(exitOK), errOut)
		Expect(out).To(ContainSubstring("pilot: accepted"))
		code, _, errOut = invoke(printed, "workspace", "apply", "-f", "-")
		Expect(code).To(Equal(exitRefused))
		Expect(errOut).To(ContainSubstring("pilot is a profile, not a workspace"))
	})

	It("sends the expected version", func() {
		code, _, _ := invoke(pilot, "profile", "apply", "-f", "-", "-if-version", "0")
		Expect(code).To(Equal(exitOK))
		Expect(objects.lastWrite.ExpectedVersion).To(HaveValue(BeZero()))
	})

	DescribeTable("has an exit code for each kind of failure",
		func(err error, want int) {
			objects.err = err
			code, _, errOut := invoke(pilot, "profile", "apply", "-f", "-")
			Expect(code).To(Equal(want))
			Expect(errOut).To(ContainSubstring("error: "))
		},
		Entry("refused", failure.New(failure.InvalidObject, "x"), exitRefused),
		Entry("conflict", failure.New(failure.Conflict, "x"), exitConflict),
		Entry("unknown", failure.New(failure.ResultUnknown, "x"), exitUnknown),
		Entry("platform unavailable", failure.New(failure.PlatformUnavailable, "x"), exitUnreachable),
		Entry("other", failure.New(failure.Internal, "x"), exitOther),
	)

	DescribeTable("refuses invalid input with the reason and without a call",
		func(input string, want int, mention string, args ...string) {
			code, _, errOut := invoke(input, args...)
			Expect(code).To(Equal(want))
			Expect(errOut).To(ContainSubstring(mention))
			Expect(objects.lastWrite.ChangedBy).To(BeEmpty())
		},
		Entry("an unknown field", `{"name":"pilot","teir":1}`, exitRefused, "teir", "profile", "apply", "-f", "-"),
		Entry("no file", "", exitUsage, "-f FILE", "profile", "apply"),
		Entry("an unknown format", pilot, exitUsage, "table or json", "profile", "apply", "-f", "-", "-o", "xml"),
		Entry("a missing file", "", exitRefused, "no such file", "profile", "apply", "-f", filepath.Join("testdata", "none.json")),
	)

	It("distinguishes an unreachable daemon from a change that may have been accepted", func() {
		GinkgoT().Setenv(adminVariable, "http://127.0.0.1:1")
		code, _, _ := invoke("", "profile", "list")
		Expect(code).To(Equal(exitUnreachable))
		code, _, errOut := invoke(pilot, "profile", "apply", "-f", "-")
		Expect(code).To(Equal(exitUnknown))
		Expect(errOut).To(ContainSubstring("may have been accepted"))
	})

	It("is refused with an invalid operator token", func() {
		GinkgoT().Setenv(tokenVariable, "wrong")
		code, _, errOut := invoke("", "profile", "list")
		Expect(code).To(Equal(exitRefused))
		Expect(errOut).To(ContainSubstring("unauthenticated"))
	})

	It("prints tables and JSON", func() {
		_, table, _ := invoke("", "profile", "list")
		Expect(table).To(ContainSubstring("CHANGED BY"))
		_, asJSON, _ := invoke("", "profile", "list", "-o", "json")
		Expect(asJSON).To(ContainSubstring(`"revision": 9`))
		_, status, _ := invoke("", "status")
		Expect(status).To(ContainSubstring("bulletin-llm"))
	})
})

var _ = Describe("Other commands", func() {
	It("starts the drain of a daemon", func() {
		drained := make(chan struct{})
		GinkgoT().Setenv(adminVariable, startAdmin(&fakeObjects{}, func() { close(drained) }))
		GinkgoT().Setenv(tokenVariable, operatorToken)
		code, out, _ := invoke("", "drain")
		Expect(code).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("2 requests in progress"))
		Expect(drained).To(BeClosed())
	})

	It("prints the example settings", func() {
		_, example, _ := invoke("", "settings", "example")
		Expect(example).To(Equal(string(settings.Example())))
	})

	It("refuses to run dev on an address other than loopback", func() {
		code, _, errOut := invoke("", "dev", "-listen", "0.0.0.0:0")
		Expect(code).To(Equal(exitUsage))
		Expect(errOut).To(ContainSubstring("loopback"))
	})

	It("refuses an unknown command", func() {
		code, _, _ := invoke("", "nonsense")
		Expect(code).To(Equal(exitUsage))
	})
})
