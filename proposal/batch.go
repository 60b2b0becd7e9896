package proposal

// Limits of a batch of records that are synced together.
const (
	maxBatch      = 1024 // records
	maxBatchBytes = 4 << 20
)

// Batch collects the first proposal and those queued behind it, up to the limits, and skips withdrawn ones.
func Batch(first *Proposal, more <-chan *Proposal) []*Proposal {
	var batch []*Proposal
	size := 0
	for p := first; ; {
		if p.markTaken() {
			batch = append(batch, p)
			size += len(p.Data)
		}
		if len(batch) >= maxBatch || size >= maxBatchBytes {
			return batch
		}
		select {
		case p = <-more:
		default:
			return batch
		}
	}
}
