package state_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the random histories one seed, so that a verdict repeats; -rapid.seed names another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "250"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
