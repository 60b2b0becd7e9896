// Package answer keeps the answers given to operators, so that a resent request gets its first answer.
package answer
