package command_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"daisyswitch/command"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// newEntryServer starts a server that answers every read with a configuration and every change with the given status and body.
func newEntryServer(t *testing.T, status int, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			fmt.Fprint(w, `{"version": 4}`)
			return
		}
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func run(args ...string) (code int, out string) {
	var buffer bytes.Buffer
	code = command.Run(args, &buffer, &buffer)
	return code, buffer.String()
}

// TestExitCodes checks the exit code for every outcome of a change.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		code   int
	}{
		{200, `{"outcome": "accepted", "version": 5}`, command.ExitOK},
		{409, `{"outcome": "conflict", "winner": {"operator": "bea"}}`, command.ExitConflict},
		{422, `{"outcome": "refused", "reason": "no such class"}`, command.ExitRefused},
		{503, `{"code": "unavailable", "verdict": "not-run", "reason": "no leader"}`, command.ExitFailed},
		{503, `{"code": "timeout", "verdict": "unknown", "reason": "no answer"}`, command.ExitUnknown},
		{200, `{"outcome": "acc`, command.ExitUnknown},
	} {
		code, out := run("--entry", newEntryServer(t, c.status, c.body), "--operator", "ana", "domain", "out", "cebu")
		assert.Equal(t, code, c.code, out)
	}
}

// TestWrongCommandLines checks the message for each invalid command line and that it exits with ExitUsage.
func TestWrongCommandLines(t *testing.T) {
	var page strings.Builder
	for _, line := range []string{
		"",
		"frobnicate",
		"class put",
		"class put bids",
		"class put bids --kind quick",
		"--entry 127.0.0.1:1 class put bids --kind service",
		"--operator ana class put bids --kind service",
		"--entry 127.0.0.1:1 --operator ana class put refunds --kind batch --due noon",
		"check-settings testdata/no-such-file",
		"entry --settings testdata/no-such-file",
	} {
		code, out := run(strings.Fields(line)...)
		assert.Equal(t, code, command.ExitUsage, line)
		fmt.Fprintf(&page, "$ daisyswitch %s\n%s\n", line, out)
	}
	golden.Assert(t, page.String(), "wrong_command_lines.txt")
}

func TestHelpNamesExitCodesAndExamples(t *testing.T) {
	for _, line := range []string{"--help", "class --help", "class put --help", "job submit --help", "status --help"} {
		code, out := run(strings.Fields(line)...)
		assert.Equal(t, code, command.ExitOK)
		assert.Assert(t, strings.Contains(out, "Example: daisyswitch"), out)
	}
	_, out := run("--help")
	assert.Assert(t, strings.Contains(out, "Exit codes"), out)
}
