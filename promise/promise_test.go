package promise_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"daisyswitch/promise"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func read(t *testing.T, folder string) *promise.Records {
	records, err := promise.Read(folder)
	assert.NilError(t, err)
	return records
}

func table(results []*promise.Result) string {
	var b strings.Builder
	promise.Print(&b, results)
	return b.String()
}

func TestGoodRunHoldsEveryPromise(t *testing.T) {
	results := promise.Check(read(t, "testdata/good"))
	golden.Assert(t, table(results), "good.golden")
	assert.Assert(t, promise.OK(results))
}

// TestEachViolationIsFound adds the records of one violation to those of the good run. The promise whose number begins the folder's name must be reported as violated.
func TestEachViolationIsFound(t *testing.T) {
	folders, err := filepath.Glob("testdata/violations/*")
	assert.NilError(t, err)
	for _, folder := range folders {
		name := filepath.Base(folder)
		t.Run(name, func(t *testing.T) {
			records, more := read(t, "testdata/good"), read(t, folder)
			records.Tasks = append(records.Tasks, more.Tasks...)
			records.Requests = append(records.Requests, more.Requests...)
			records.Told = append(records.Told, more.Told...)
			records.RunEvents = append(records.RunEvents, more.RunEvents...)
			records.Sort()
			broken := ""
			for i, r := range promise.Check(records) {
				for _, violation := range r.Violations {
					broken += string(rune('0'+(i+1)/10)) + string(rune('0'+(i+1)%10)) + " " + violation + "\n"
				}
			}
			golden.Assert(t, broken, filepath.Join("violations", name, "broken.golden"))
			assert.Assert(t, strings.HasPrefix(broken, name[:2]), "the violation of this promise was not reported")
		})
	}
}

func TestNothingObservedIsNoSuccess(t *testing.T) {
	results := promise.Check(read(t, t.TempDir()))
	golden.Assert(t, table(results), "nothing.golden")
	assert.Assert(t, !promise.OK(results))
}

func TestLineThatIsNoRecordIsNamed(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "worker-a.jsonl")
	assert.NilError(t, os.WriteFile(file, []byte("{\"kind\":\"boot\"}\n{\"kind\":"), 0o600))
	_, err := promise.Read(folder)
	assert.ErrorContains(t, err, file+":2")
}
