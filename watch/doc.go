// Package watch follows the accepted configuration at control's replicas and holds what is in force in the process, never an older one than before.
package watch
