package command

import (
	"flag"
	"os"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Environment variables for the admin API's address and the operator's token, and the
// address used if neither flag nor variable is set.
const (
	adminVariable = "PRIMROSEWELL_ADMIN"
	tokenVariable = "PRIMROSEWELL_TOKEN"
	defaultAdmin  = "http://127.0.0.1:8081"
)

// adminFlags are the flags that select a daemon's admin API and the operator's token.
type adminFlags struct {
	address   string
	tokenFile string
}

func (c *adminFlags) register(f *flag.FlagSet) {
	address := lo.CoalesceOrEmpty(os.Getenv(adminVariable), defaultAdmin)
	f.StringVar(&c.address, "admin", address, "`URL` of any daemon's admin API; also "+adminVariable)
	f.StringVar(&c.tokenFile, "token-file", "", "`file` with the operator's token; without it, "+tokenVariable+" holds the token")
}

// client returns a client of the admin API. -token-file has priority over the variable.
func (c *adminFlags) client() (*admin.Client, error) {
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
