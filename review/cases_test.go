//go:build review

// Package review_test runs the cases of the review. A case that ends as "not run" fails like one whose rule
// was broken.
package review_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	buildTime = 10 * time.Minute
	// caseTime is longer than a case may take; the rig ends one that takes too long as not run.
	caseTime = 3 * time.Minute
)

var buildLine = regexp.MustCompile(`(?m)^build = "(.*)"$`)

func TestCases(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "review")
}

// run runs a command in the root of the repository and returns its exit code.
func run(limit time.Duration, name string, args ...string) int {
	GinkgoHelper()
	command := exec.Command(name, args...)
	command.Dir = ".."
	session, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait() })
	Eventually(session, limit).Should(gexec.Exit())
	return session.ExitCode()
}

var _ = BeforeSuite(func() {
	deploy, err := os.ReadFile("../deploy/system.toml")
	Expect(err).NotTo(HaveOccurred())
	build := buildLine.FindSubmatch(deploy)
	Expect(build).NotTo(BeNil(), "no build line in the deploy file")
	Expect(run(buildTime, "sh", "-c", string(build[1]))).To(Equal(0))
	Expect(run(buildTime, "review/build.sh")).To(Equal(0))
})

var _ = Describe("The rule of case", func() {
	scripts, err := filepath.Glob("*/run.sh")
	if err != nil || len(scripts) == 0 {
		panic("no cases found")
	}
	for _, script := range scripts {
		name := filepath.Dir(script)
		It(name+" holds", func() {
			const held, notRun = 0, 2
			code := run(caseTime, filepath.Join("review", script))
			if code != held {
				record, err := os.ReadFile(filepath.Join(name, "record.txt"))
				if err == nil {
					AddReportEntry("record", string(record))
				}
			}
			Expect(code).NotTo(Equal(notRun), "the case did not run")
			Expect(code).To(Equal(held), "the rule was broken")
		})
	}
})
