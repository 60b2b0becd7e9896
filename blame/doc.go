// Package blame tells bad workers from bad jobs, for the policy alone: a worker is judged by distinct jobs and a job by distinct workers, so that neither pays for the other.
package blame
