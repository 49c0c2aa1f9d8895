//go:build bench

package e2e_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// profileDirectory is where profiles go; empty means that none are taken, since
// taking one costs the daemon time.
var profileDirectory = os.Getenv("BENCH_PROFILES")

const (
	profileDelay   = 8 * time.Second // Past the direct calls of the first round.
	profileSeconds = 4
)

// profileLater takes a processor profile while the load of a bench runs.
func (d *daemonProcess) profileLater(name string) {
	if profileDirectory == "" {
		return
	}
	if name == "streams" {
		time.Sleep(profileDelay)
	}
	d.fetchProfile(fmt.Sprintf("profile?seconds=%d", profileSeconds), name)
}

// writeProfile takes a profile of a kind that is there at once, such as "heap".
func (d *daemonProcess) writeProfile(kind string) {
	if profileDirectory != "" {
		d.fetchProfile(kind, kind)
	}
}

func (d *daemonProcess) fetchProfile(query, name string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.admin+"/debug/pprof/"+query, nil)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Println("no profile:", err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		fmt.Println("no profile:", err)
		return
	}
	_ = os.WriteFile(filepath.Join(profileDirectory, name+".prof"), data, 0o600)
}
