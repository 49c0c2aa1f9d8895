package retry_test

import (
	"fmt"
	"testing"

	"github.com/primrosewell/primrosewell/internal/retry"
)

// benchWorkspaces is the number of workspaces in use at the design size.
const benchWorkspaces = 1700

// BenchmarkStarted measures the cost of Started for each request, with all workspaces in use.
func BenchmarkStarted(b *testing.B) {
	budget := retry.NewBudget(retry.Config{})
	names := make([]string, benchWorkspaces)
	for i := range names {
		names[i] = fmt.Sprintf("workspace%d", i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		budget.Started(start, names[i%benchWorkspaces], "pool")
	}
}
