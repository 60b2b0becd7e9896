package settings

import "fmt"

// Rows returns how the row of each whole number begins in the page for operators.
func Rows() map[string]string {
	rows := map[string]string{}
	for key, b := range bounds {
		value := fmt.Sprint(b.Default)
		if b.Required {
			value = "none"
		}
		rows[key] = fmt.Sprintf("| `%s` | %s | %d to %d |", key, value, b.Min, b.Max)
	}
	delete(rows, "control[].id") // as id
	return rows
}
