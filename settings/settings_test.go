package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daisyswitch/settings"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestBadFilesAreRefused(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			_, err := settings.CheckFile(file)
			assert.Assert(t, err != nil, "accepted")
			golden.Assert(t, err.Error()+"\n", strings.TrimPrefix(file, "testdata/")+".golden")
		})
	}
}

func TestExamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 4)
	for _, file := range files {
		role, err := settings.CheckFile(file)
		assert.NilError(t, err)
		assert.Equal(t, role, strings.TrimSuffix(filepath.Base(file), "-1.json"))
	}
}

func TestKeysLeftOutHaveDefaults(t *testing.T) {
	e, err := settings.LoadEntry("../examples/verhoeven/entry-1.json")
	assert.NilError(t, err)
	assert.Equal(t, e.Limits.QueueTimeoutMS, int64(200)) // set in the file
	assert.Equal(t, e.Limits.HeaderBytes, int64(65536))  // default
	assert.Equal(t, len(e.Entries), 8)
	c, err := settings.LoadControl("../examples/verhoeven/control-1.json")
	assert.NilError(t, err)
	assert.Equal(t, c.ElectionTicks, int64(10))
	assert.Equal(t, len(c.Control), 5)
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := settings.CheckFile("testdata/absent.jsonc")
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.ErrorContains(t, err, "testdata/absent.jsonc")
}

// FuzzParse checks that rejected files report existing lines in ascending order, and that accepted files yield settings in range.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/bad/*.jsonc", "../examples/*/*.json"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(f, err)
		for _, file := range files {
			source, err := os.ReadFile(file)
			assert.NilError(f, err)
			f.Add(source)
		}
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		e, err := settings.ParseEntry("f", source)
		checkRefusal(t, source, err)
		assert.Assert(t, err != nil || (e.Name != "" && len(e.Control)%2 == 1 && e.Limits.BodyBytes > 0))
		c, err := settings.ParseControl("f", source)
		checkRefusal(t, source, err)
		assert.Assert(t, err != nil || (c.ID > 0 && c.LeaseMS >= 2*c.TickMS*c.ElectionTicks))
	})
}

func checkRefusal(t *testing.T, source []byte, err error) {
	if err == nil {
		return
	}
	var refusal *settings.Error
	assert.Assert(t, errors.As(err, &refusal))
	last := 1
	for _, fault := range refusal.Faults {
		assert.Assert(t, fault.Line >= last && fault.Line <= strings.Count(string(source), "\n")+1, "%v", fault)
		assert.Assert(t, fault.Text != "")
		last = fault.Line
	}
}

func TestPageTellsEveryDefaultAndRange(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/settings.md")
	assert.NilError(t, err)
	for key, row := range settings.Rows() {
		assert.Assert(t, strings.Contains(string(page), row), "%s: no row of docs/operators/settings.md starts with %s", key, row)
	}
}

// TestProcessBehindAForwarderListensElsewhere checks that a process listens on inner_listen if set, else on inner.
func TestProcessBehindAForwarderListensElsewhere(t *testing.T) {
	c := settings.Common{Inner: "127.0.0.1:7000"}
	assert.Equal(t, c.InnerAddress(), "127.0.0.1:7000")
	c.InnerListen = "127.0.0.1:7100"
	assert.Equal(t, c.InnerAddress(), "127.0.0.1:7100")
}

// TestLeaseOfAMember guards against leases that are not shortened from the longest one by the margin, and against a margin that leaves none.
func TestLeaseOfAMember(t *testing.T) {
	member := func(leases string) (*settings.Member, error) {
		return settings.ParseMember("member.json", []byte(`{"name": "m", "domain": "d", "inner": "127.0.0.1:1000", "admin": "127.0.0.1:1001",
			"announcements": "127.0.0.1:1002", "data": "data", "seeds": [{"address": "127.0.0.1:1002"}], `+leases+`}`))
	}
	for leases, want := range map[string]time.Duration{
		`"lease_ms": 3500`: 3500 * time.Millisecond,
		`"longest_lease_ms": 6000, "lease_margin_ms": 2500`:                    3500 * time.Millisecond,
		`"longest_lease_ms": 10000, "lease_margin_ms": 2500, "lease_ms": 1000`: 7500 * time.Millisecond,
	} {
		m, err := member(leases)
		assert.NilError(t, err)
		assert.Equal(t, m.Lease(), want)
	}
	_, err := member(`"longest_lease_ms": 3000, "lease_margin_ms": 2500`)
	assert.ErrorContains(t, err, "lease_margin_ms")
}
