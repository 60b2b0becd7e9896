package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"daisyswitch/verdict"

	"gotest.tools/v3/assert"
)

func TestOfFindsWrappedVerdict(t *testing.T) {
	err := fmt.Errorf("forward: %w", verdict.New(verdict.NotRun, "no upstream", nil))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

func TestPlainErrorsAreUnknown(t *testing.T) {
	assert.Equal(t, verdict.Of(errors.New("reset")), verdict.Unknown)
	assert.Equal(t, verdict.Parse("nonsense"), verdict.Unknown)
}

func TestNamesParseBack(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.Unknown, verdict.NotRun, verdict.Ran} {
		assert.Equal(t, verdict.Parse(v.String()), v)
	}
}
