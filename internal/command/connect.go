package command

import (
	"flag"
	"os"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Environment variables that stand in for flags.
const (
	adminVariable = "PRIMROSEWELL_ADMIN"
	tokenVariable = "PRIMROSEWELL_TOKEN"
	defaultAdmin  = "http://127.0.0.1:8081"
)

// connection holds the flags that name a daemon's admin API.
type connection struct {
	address   string
	tokenFile string
}

func (c *connection) register(f *flag.FlagSet) {
	address := lo.CoalesceOrEmpty(os.Getenv(adminVariable), defaultAdmin)
	f.StringVar(&c.address, "admin", address, "`URL` of any daemon's admin API; also "+adminVariable)
	f.StringVar(&c.tokenFile, "token-file", "", "`file` with the operator's token; without it, "+tokenVariable+" holds the token")
}

func (c *connection) client() (*admin.Client, error) {
	token := os.Getenv(tokenVariable)
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, failure.New(failure.InvalidRequest, "-token-file: "+err.Error())
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, failure.New(failure.Unauthenticated, "no operator token; set "+tokenVariable+" or -token-file")
	}
	return admin.NewClient(c.address, token), nil
}
