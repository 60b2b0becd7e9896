// Package measure holds recent reports of entries about their callers and themselves, for status. They may all be lost when the leader changes.
package measure
