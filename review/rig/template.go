package main

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	// sectionStart begins a section of the settings template: "#" if it is rendered with a value, "^" if it
	// is rendered without one.
	sectionStart = regexp.MustCompile(`{{([#^])([^{}]+)}}`)
	placeholder  = regexp.MustCompile(`{{[^{}]*}}`)
)

// render fills a settings template in (DEPLOY.md of the users' pages). A section is rendered once or not at
// all: the rig has no lists. The error names a placeholder without a value.
func render(template string, values map[string]string) (string, error) {
	for {
		start := sectionStart.FindStringSubmatchIndex(template)
		if start == nil {
			break
		}
		kind, name := template[start[2]:start[3]], template[start[4]:start[5]]
		end := "{{/" + name + "}}"
		inside, rest, closed := strings.Cut(template[start[1]:], end)
		if !closed {
			return "", fmt.Errorf("the settings template does not close the section %s", name)
		}
		if (values[name] != "") != (kind == "#") {
			inside = ""
		}
		template = template[:start[0]] + inside + rest
	}
	var missing string
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		value, known := values[strings.Trim(found, "{}")]
		if !known {
			missing = found
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("the settings template has a placeholder that is not filled in: %s", missing)
	}
	return text, nil
}
