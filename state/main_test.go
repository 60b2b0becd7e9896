package state_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the random histories, so that results are reproducible. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "250"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
