package task

import (
	"fmt"
	"strconv"
)

// JobID returns the id of the job with the given number.
func JobID(number uint64) string { return fmt.Sprintf("j%d", number) }

// JobNumber returns the number of the job with the given id.
func JobNumber(id string) (uint64, error) {
	if len(id) < 2 || id[0] != 'j' {
		return 0, fmt.Errorf("invalid job id %q: want j followed by a number", id)
	}
	n, err := strconv.ParseUint(id[1:], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("invalid job id %q: want j followed by a number: %w", id, err)
	}
	return n, nil
}
