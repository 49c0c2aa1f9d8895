// Command rig2 plays the scripts of the second review: gateways as processes, with stand-ins of the
// platform, the endpoints and the callers, on loopback addresses.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/platform"
)

//go:embed wire.json
var wireFile []byte

// wire holds what the users' pages call things on the wire, as formats.
var wire = func() map[string]string {
	formats := map[string]string{}
	if err := json.Unmarshal(wireFile, &formats); err != nil {
		panic(err) // The file is embedded, so this is a mistake of the build.
	}
	return formats
}()

// names are the header fields of the users' platform.
var names headers.Names = platform.Adapter().Headers

// apiKey is the one of the manifest's tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// host is the one of all routes.
const host = "maps.example"

// service describes a service in the manifest.
type service struct {
	name     string
	maxConns int
}

// route describes a route in the manifest.
type route struct {
	name, prefix, kind, service string
	timeoutMS, goalMS, priority int
	attempts                    int
	sticky, resumable           bool
}

// manifest encodes the operator's configuration.
func manifest(version int, routes []route, services []service) string {
	var r, s []string
	for _, x := range routes {
		r = append(r, fmt.Sprintf(wire["route"], x.name, x.prefix, x.kind, x.timeoutMS, x.goalMS, x.priority, x.service, x.attempts, x.sticky, x.resumable))
	}
	for _, x := range services {
		s = append(s, fmt.Sprintf(wire["service"], x.name, x.maxConns))
	}
	return fmt.Sprintf(wire["manifest"], version, strings.Join(r, ","), strings.Join(s, ","))
}
