package slope

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// The lines between which the page's generated part stands.
const (
	begin = "<!-- slopes: written by make slopes -->"
	end   = "<!-- end of slopes -->"
)

// Table returns the results as a Markdown table.
func Table(results []Result) string {
	var b strings.Builder
	b.WriteString("| role | cost | sizes measured | line | residual | size to design for | cost there |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range results {
		fmt.Fprintln(&b, r.Row())
	}
	return b.String()
}

// Write replaces the generated part of the page in file.
func Write(file string, results []Result) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	before, rest, found := strings.Cut(string(page), begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return errors.New("page has no place for the slopes")
	}
	page = []byte(before + begin + "\n" + Table(results) + end + after)
	if err := os.WriteFile(file, page, 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
