// Package operator defines the JSON bodies of the administration interface, serves it in an entry process and provides a client for it.
package operator
