// Package answer keeps the answers given to operators, so that a request sent again gets its first answer.
package answer
