package fakecaller

import (
	"fmt"
	"io"
	"sort"
	"time"

	"daisyswitch/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestUS = 60 * 1000 * 1000
	digits    = 3
)

// Summary is what came of one load.
type Summary struct {
	Class        string           `json:"class"`
	DurationMS   int64            `json:"duration_ms"`
	Requests     int64            `json:"requests"`
	Outcomes     map[string]int64 `json:"outcomes"` // by outcome, and for a verdict by outcome:verdict
	Reasons      map[string]int64 `json:"reasons"`  // of all but whole answers
	P50US        int64            `json:"p50_us"`   // of whole answers, from when each request was due
	P99US        int64            `json:"p99_us"`
	P999US       int64            `json:"p999_us"`
	MaxUS        int64            `json:"max_us"`
	RefusalP99US int64            `json:"refusal_p99_us"` // of answers of daisyswitch itself

	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

func newSummary(class string) *Summary {
	return &Summary{
		Class:    class,
		Outcomes: map[string]int64{},
		Reasons:  map[string]int64{},
		answers:  hdrhistogram.New(1, longestUS, digits),
		refusals: hdrhistogram.New(1, longestUS, digits),
	}
}

func (s *Summary) add(told standin.Told, took time.Duration) {
	s.Requests++
	outcome := told.Outcome
	if told.Verdict != "" && told.Outcome == standin.OutcomeVerdict {
		outcome += ":" + told.Verdict
	}
	s.Outcomes[outcome]++
	us := min(max(took.Microseconds(), 1), longestUS)
	switch told.Outcome {
	case standin.OutcomeOK:
		s.answers.RecordValue(us) //nolint:errcheck // within the range
	case standin.OutcomeVerdict:
		s.refusals.RecordValue(us) //nolint:errcheck // within the range
		s.Reasons[told.Reason]++
	default:
		s.Reasons[told.Reason]++
	}
}

// finish works out the quantiles.
func (s *Summary) finish() {
	s.P50US = s.answers.ValueAtQuantile(50)
	s.P99US = s.answers.ValueAtQuantile(99)
	s.P999US = s.answers.ValueAtQuantile(99.9)
	s.MaxUS = s.answers.Max()
	s.RefusalP99US = s.refusals.ValueAtQuantile(99)
}

// Failed reports whether an answer was wrong or never came.
func (s *Summary) Failed() bool {
	return s.Outcomes[standin.OutcomeWrong] > 0 || s.Outcomes[standin.OutcomeHung] > 0
}

// Print writes the summary for people.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "class %s: %d requests in %.1f s\n", s.Class, s.Requests, float64(s.DurationMS)/1000)
	fmt.Fprintf(w, "  whole answers: p50 %s, p99 %s, p99.9 %s, max %s\n", ms(s.P50US), ms(s.P99US), ms(s.P999US), ms(s.MaxUS))
	for _, name := range sorted(s.Outcomes) {
		fmt.Fprintf(w, "  %-20s %d\n", name, s.Outcomes[name])
	}
	for _, reason := range sorted(s.Reasons) {
		fmt.Fprintf(w, "    %6d  %s\n", s.Reasons[reason], reason)
	}
}

func ms(us int64) string {
	return fmt.Sprintf("%.1f ms", float64(us)/1000)
}

func sorted(counts map[string]int64) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
