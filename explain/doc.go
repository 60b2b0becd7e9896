// Package explain collects the history of one workflow from the logs of all processes. It opens no files and makes no network calls.
package explain
