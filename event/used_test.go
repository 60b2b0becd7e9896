package event_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var registered = regexp.MustCompile(`(?m)^\t([A-Z]\w+)\s+= register\(`)

// TestEachEventIsEmitted guards against catalogue entries that no code ever logs.
func TestEachEventIsEmitted(t *testing.T) {
	var names []string
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if filepath.Dir(path) == filepath.Join("..", "event") {
			for _, found := range registered.FindAllStringSubmatch(string(source), -1) {
				names = append(names, found[1])
			}
		}
		code.Write(registered.ReplaceAll(source, nil))
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		assert.Assert(t, strings.Contains(code.String(), "event."+name+".") || strings.Contains(code.String(), name+".title()"), "%s is never emitted", name)
	}
}
