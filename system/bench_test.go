package system_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkEntryReady restarts an entry and waits until it is ready, with the configuration available from the leader, a neighbor or a single replica.
func BenchmarkEntryReady(b *testing.B) {
	for _, from := range []struct {
		name string
		kill func(c *cluster) []*process
	}{
		{"leader", func(*cluster) []*process { return nil }},
		{"neighbor", func(c *cluster) []*process { return c.Controls }},
		{"replica", func(c *cluster) []*process { return []*process{c.Controls[0], c.Controls[2], c.Entries[0]} }},
	} {
		b.Run(from.name, func(b *testing.B) {
			c, err := newCluster(options{Bin: bin, Dir: b.TempDir(), Entries: 2})
			assert.NilError(b, err)
			defer c.Close()
			assert.NilError(b, c.Start())
			for _, p := range from.kill(c) {
				assert.NilError(b, p.Kill())
			}
			entry := c.Entries[1]
			total := time.Duration(0)
			for b.Loop() {
				assert.NilError(b, entry.Kill())
				began := time.Now()
				assert.NilError(b, entry.Start())
				assert.NilError(b, entry.WaitReady())
				total += time.Since(began)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/ready")
		})
	}
}
