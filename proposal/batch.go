package proposal

// Bounds of the records that are synced together.
const (
	maxBatch      = 1024 // records
	maxBatchBytes = 4 << 20
)

// Batch takes the first proposal and those that wait behind it, up to the bounds, and leaves out what was withdrawn.
func Batch(first *Proposal, more <-chan *Proposal) []*Proposal {
	var batch []*Proposal
	size := 0
	for p := first; ; {
		if p.take() {
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
