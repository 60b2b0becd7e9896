package inner

import (
	"daisyswitch/verdict"
	"daisyswitch/wire"
)

// FromWire converts a verdict from its message form.
func FromWire(v wire.Verdict) verdict.Verdict {
	switch v {
	case wire.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case wire.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.Unknown
	}
}

// ToWire converts a verdict to its message form.
func ToWire(v verdict.Verdict) wire.Verdict {
	switch v {
	case verdict.NotRun:
		return wire.Verdict_VERDICT_NOT_RUN
	case verdict.Ran:
		return wire.Verdict_VERDICT_RAN
	default:
		return wire.Verdict_VERDICT_UNKNOWN
	}
}
