package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Journal appends records to a file, one JSON line each. It is unbuffered, so that a killed process loses no written record.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens a journal for appending. With an empty path, the journal discards its records.
func OpenJournal(path string) (*Journal, error) {
	if path == "" {
		return &Journal{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &Journal{file: file}, nil
}

// Append writes one record. The caller must treat an error as fatal, because a lost record could hide a violation.
func (j *Journal) Append(record any) error {
	if j.file == nil {
		return nil
	}
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, err := j.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

const longestLine = 1 << 20

// ReadJournal returns all records of a journal. An invalid line is an error that names the file and the line.
func ReadJournal[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer file.Close()
	var records []T
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, longestLine)
	for n := 1; lines.Scan(); n++ {
		var record T
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return nil, fmt.Errorf("journal: %s:%d: %w", path, n, err)
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("journal: %s: %w", path, err)
	}
	return records, nil
}
