// Package refusal is the answer that callers get when it is not an upstream's own: a verdict, a code for programs and a reason for people.
package refusal
