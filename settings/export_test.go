package settings

import "fmt"

// Rows returns the start of each integer setting's row in the operators' documentation.
func Rows() map[string]string {
	rows := map[string]string{}
	for key, b := range numberRules {
		value := fmt.Sprint(b.Default)
		if b.Required {
			value = "none"
		}
		rows[key] = fmt.Sprintf("| `%s` | %s | %d to %d |", key, value, b.Min, b.Max)
	}
	delete(rows, "control[].id") // documented in the row of id
	return rows
}
