// Package audit keeps the audit trail of operators' changes, both accepted and refused.
package audit
