package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line is a log line with its time.
type Line struct {
	Time string // month, day and time of day as logged, which sorts within a year
	Text string
}

var (
	timePattern   = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d+)`)
	workerPattern = regexp.MustCompile(`worker="([^"]+)"`)
)

// workerEvents are the events of a worker that affect all tasks on it.
var workerEvents = []string{"worker_silent", "worker_heard", "worker_replaced", "worker_restarted", "former_order_executed", "lease_lapsed", "called_worker_suspended", "called_worker_announced", "worker_obeys_other"}

// History returns the log lines that name a workflow or one of its tasks, and the events meanwhile of the workers that ran them, in order of time.
func History(id string, logs ...io.Reader) ([]Line, error) {
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if found := timePattern.FindStringSubmatch(scanner.Text()); found != nil {
				all = append(all, Line{Time: found[1], Text: scanner.Text()})
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return selectLines(id, all), nil
}

func selectLines(id string, all []Line) []Line {
	first, last := -1, -1
	workers := map[string]bool{}
	for i, line := range all {
		if !strings.Contains(line.Text, id) {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		if found := workerPattern.FindStringSubmatch(line.Text); found != nil {
			workers[found[1]] = true
		}
	}
	if first < 0 {
		return nil
	}
	var story []Line
	for _, line := range all[first : last+1] {
		if strings.Contains(line.Text, id) || concernsWorkers(line.Text, workers) {
			story = append(story, line)
		}
	}
	return story
}

// concernsWorkers reports whether a line logs an event of one of the workers that affects its tasks.
func concernsWorkers(text string, workers map[string]bool) bool {
	found := workerPattern.FindStringSubmatch(text)
	if found == nil || !workers[found[1]] {
		return false
	}
	return slices.ContainsFunc(workerEvents, func(event string) bool { return strings.Contains(text, " "+event+`"`) })
}
