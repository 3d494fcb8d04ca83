package main

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
)

// platformFields holds the values, as JSON, that the platform substitutes for the
// placeholders of the templates.
var platformFields = map[string]string{
	"node": `"edge-gulf-a-1"`, "zone": `"gulf-a"`, "ip": "10.1.0.13", "app": `"10.1.0.13:8165"`,
	"listen.front": `"10.1.0.13:8161"`, "listen.ready": `"10.1.0.13:8167"`, "listen.control": `"10.1.0.13:8166"`,
	"port_range.0": "7720", "platform.addr": `"10.200.1.7:8169"`, "seeds": `["10.1.0.13:8166","10.2.0.30:8166"]`,
	"bounds.grace_s": "6",
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// TestTemplates fills in the settings templates of the deployment as the platform does,
// and parses the results. It guards against a template with an unknown placeholder or
// with wrong settings, which would keep every process of a role from starting.
func TestTemplates(t *testing.T) {
	for file, settings := range map[string]loader.Settings{
		"../../deploy/gateway.jsonc": loader.DefaultGateway(),
		"../../deploy/sidecar.jsonc": loader.DefaultSidecar(),
	} {
		src, err := os.ReadFile(file)
		assert.NilError(t, err)
		filled := placeholder.ReplaceAllStringFunc(string(src), func(p string) string {
			value, known := platformFields[placeholder.FindStringSubmatch(p)[1]]
			assert.Assert(t, known, "%s: the platform has no field for %s", file, p)
			return value
		})
		assert.NilError(t, loader.Parse(file, []byte(filled), settings).Err())
	}
}
