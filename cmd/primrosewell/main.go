// Command primrosewell routes language-model traffic by service level and priority.
package main

import (
	"context"
	"os"

	"github.com/primrosewell/primrosewell/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
