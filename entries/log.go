package entries

import "daisyswitch/wire"

// Log holds the entries after its offset; what lies at or before it is in a snapshot.
type Log struct {
	Offset     uint64 // last index that only a snapshot covers
	offsetTerm uint64
	entries    []*wire.Entry // entries[0] has index offset+1
	Commit     uint64        // last index known to be committed
	Synced     uint64        // last index that is on disk
}

// Last returns the index of the last entry, that of the snapshot if there is none.
func (l *Log) Last() uint64 {
	return l.Offset + uint64(len(l.entries))
}

// Term returns the term of the entry at index; ok is false outside of the log.
func (l *Log) Term(index uint64) (term uint64, ok bool) {
	if index == l.Offset {
		return l.offsetTerm, true
	}
	if index < l.Offset || index > l.Last() {
		return 0, false
	}
	return l.entries[index-l.Offset-1].GetTerm(), true
}

// LastTerm returns the term of the last entry, which decides with its index who may lead.
func (l *Log) LastTerm() uint64 {
	term, _ := l.Term(l.Last())
	return term
}

// UpToDate says whether a log that ends with the given entry holds at least what this one holds.
func (l *Log) UpToDate(index, term uint64) bool {
	if term != l.LastTerm() {
		return term > l.LastTerm()
	}
	return index >= l.Last()
}

// Slice returns the entries from first up to last, both included.
func (l *Log) Slice(first, last uint64) []*wire.Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.Offset-1 : last-l.Offset]
}

// Add appends entries whose indexes follow the last one.
func (l *Log) Add(entries ...*wire.Entry) {
	l.entries = append(l.entries, entries...)
}

// Merge takes over the entries after a matching previous one and removes what conflicts with them; it returns the index of the first that is new, 0 if none is.
func (l *Log) Merge(entries []*wire.Entry) uint64 {
	for i, e := range entries {
		if e.GetIndex() <= l.Offset {
			continue
		}
		term, ok := l.Term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		if ok {
			l.truncate(e.GetIndex())
		}
		l.Add(entries[i:]...)
		return e.GetIndex()
	}
	return 0
}

// truncate removes the entries from index on.
func (l *Log) truncate(index uint64) {
	if index <= l.Commit {
		panic("entries: a committed entry conflicts with the leader's")
	}
	l.entries = append([]*wire.Entry(nil), l.entries[:index-l.Offset-1]...)
	l.Synced = min(l.Synced, index-1)
}

// Conflict returns the last index before the run of the term that stands at index.
func (l *Log) Conflict(index uint64) uint64 {
	term, _ := l.Term(index)
	for index > l.Commit {
		index--
		if t, ok := l.Term(index); !ok || t != term {
			return index
		}
	}
	return index
}

// Compact forgets the entries up to index.
func (l *Log) Compact(index uint64) {
	if index <= l.Offset || index > l.Commit {
		return
	}
	term, _ := l.Term(index)
	l.entries = append([]*wire.Entry(nil), l.Slice(index+1, l.Last())...)
	l.Offset, l.offsetTerm = index, term
}

// Reset replaces the whole log by a snapshot.
func (l *Log) Reset(index, term uint64) {
	*l = Log{Offset: index, offsetTerm: term, Commit: index, Synced: index}
}
