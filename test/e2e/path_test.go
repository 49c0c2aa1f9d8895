package e2e_test

import (
	"context"
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

var _ = Describe("The whole path as separate processes", func() {
	It("serves requests end to end, streamed and whole, to a published client library", func() {
		c := startCluster(clusterOptions{daemons: 1, engines: 3})
		client := openai.NewClient(
			option.WithBaseURL("http://"+c.daemons[0].callers+"/v1"),
			option.WithAPIKey(apiKey),
			option.WithHeader("Primrosewell-Profile", "pilot"),
		)
		params := openai.ChatCompletionNewParams{
			Model:    "bulletin",
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is a storm coming?")},
		}
		want := engine.Options{MinTokens: 8, MaxTokens: 64}.ChatResponse([]engine.Message{{Role: "user", Content: "Is a storm coming?"}}, 0)

		whole, err := client.Chat.Completions.New(context.Background(), params)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Choices[0].Message.Content).To(Equal(want))
		Expect(whole.Choices[0].FinishReason).To(Equal("stop"))

		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var text strings.Builder
		for stream.Next() {
			if chunk := stream.Current(); len(chunk.Choices) > 0 {
				text.WriteString(chunk.Choices[0].Delta.Content)
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(want))

		models, err := client.Models.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(1))
	})

	It("routes plain calls, and runs a keyed one once over two daemons", func() {
		c := startCluster(clusterOptions{daemons: 2, engines: 1})
		first := call(c.daemons[0].callers, "/services/receiver-api/corrections", "push", "Idempotency-Key", "push-1")
		Expect(first.whole()).To(BeTrue(), "%+v", first)
		again := call(c.daemons[1].callers, "/services/receiver-api/corrections", "push", "Idempotency-Key", "push-1")
		Expect(again.whole()).To(BeTrue(), "%+v", again)
		Expect(again.body).To(Equal(first.body))
		other := call(c.daemons[1].callers, "/services/receiver-api/corrections", "another push", "Idempotency-Key", "push-1")
		Expect(other.code).To(Equal("idempotency_key_conflict"))
		Expect(c.serviceRuns()).To(HaveLen(1))
	})

	It("is linked to the C library", func() {
		out, err := exec.Command("ldd", binary).CombinedOutput()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(ContainSubstring("libc.so"))
	})
})
