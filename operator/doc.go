// Package operator speaks to operators: the JSON bodies of the administration interface, the entry's front that serves it, and a client for it.
package operator
