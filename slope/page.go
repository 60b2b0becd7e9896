package slope

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// The markers around the generated part of the page.
const (
	beginMarker = "<!-- slopes: written by make slopes -->"
	endMarker   = "<!-- end of slopes -->"
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

// UpdatePage replaces the generated part of the page in file.
func UpdatePage(file string, results []Result) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	before, rest, found := strings.Cut(string(page), beginMarker)
	_, after, closed := strings.Cut(rest, endMarker)
	if !found || !closed {
		return errors.New("page lacks the comments that mark the start and end of the generated table")
	}
	page = []byte(before + beginMarker + "\n" + Table(results) + endMarker + after)
	if err := os.WriteFile(file, page, 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
