package state

import (
	"crypto/sha256"
	"fmt"

	"daisyswitch/answer"
	"daisyswitch/job"
	"daisyswitch/resource"
	"daisyswitch/wire"
)

// submit accepts or refuses a job. Answers to requests with sequence number 0 are not kept.
func (m *Machine) submit(s *wire.SubmitJob) *wire.JobResult {
	return m.executeOnce(s.Operator, s.Sequence, submitDigest(s), func() *wire.JobResult { return m.jobs.Submit(s.Job) })
}

func (m *Machine) cancel(c *wire.CancelJob) *wire.JobResult {
	return m.executeOnce(c.Operator, c.Sequence, cancelDigest(c), func() *wire.JobResult { return m.jobs.Cancel(c.Job, c.Operator) })
}

// executeOnce executes a request on jobs at most once per sequence number. The rules are those for changes, but without a base version.
func (m *Machine) executeOnce(operator string, sequence uint64, digest []byte, execute func() *wire.JobResult) *wire.JobResult {
	if sequence == 0 {
		return execute()
	}
	if err := checkRequestID(operator, sequence); err != nil {
		return job.Refused("", err.Error())
	}
	finding, first := m.answers.Find(operator, sequence, digest)
	switch finding {
	case answer.Repeat:
		return first.Job
	case answer.Reused:
		reason := fmt.Sprintf("sequence %d of operator %s was used for another request", sequence, operator)
		return &wire.JobResult{Outcome: wire.Outcome_OUTCOME_CONFLICT, Reason: reason, Job: first.Job.GetJob()}
	case answer.TooOld, answer.TooManyOperators:
		return job.Refused("", findingReason(finding))
	}
	result := execute()
	m.answers.Add(&wire.AnswerRecord{Operator: operator, Sequence: sequence, Digest: digest, Job: result})
	return result
}

func submitDigest(s *wire.SubmitJob) []byte {
	j := s.Job
	sum := sha256.Sum256(fmt.Appendf(nil, "submit %q %q %q %t %v %d %d %d", j.GetTeam(), j.GetClass(), j.GetProgram(),
		j.GetUrgent(), resource.FromWire(j.GetSize()), j.GetTasks(), j.GetExpectedMs(), j.GetMinDomains()))
	return sum[:]
}

func cancelDigest(c *wire.CancelJob) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "cancel %q", c.Job))
	return sum[:]
}
