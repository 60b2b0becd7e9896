package entries

import "daisyswitch/wire"

// Log holds the entries after Offset. Entries up to Offset are covered by a snapshot.
type Log struct {
	Offset     uint64 // last index covered only by a snapshot
	offsetTerm uint64
	entries    []*wire.Entry // entries[0] has index offset+1
	Commit     uint64        // last index known to be committed
	Synced     uint64        // last index synced to disk
}

// Last returns the index of the last entry, or that of the snapshot if there are no entries.
func (l *Log) Last() uint64 {
	return l.Offset + uint64(len(l.entries))
}

// Term returns the term of the entry at index. ok is false if the index is before Offset or after the last entry.
func (l *Log) Term(index uint64) (term uint64, ok bool) {
	if index == l.Offset {
		return l.offsetTerm, true
	}
	if index < l.Offset || index > l.Last() {
		return 0, false
	}
	return l.entries[index-l.Offset-1].GetTerm(), true
}

// LastTerm returns the term of the last entry. Together with its index it decides which replica may become leader.
func (l *Log) LastTerm() uint64 {
	term, _ := l.Term(l.Last())
	return term
}

// CandidateUpToDate reports whether a log whose last entry has the given index and term is at least as up to date as this one.
func (l *Log) CandidateUpToDate(index, term uint64) bool {
	if term != l.LastTerm() {
		return term > l.LastTerm()
	}
	return index >= l.Last()
}

// Slice returns the entries from first to last, inclusive.
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

// Merge adds the entries that follow a matching previous entry, after removing those that conflict with them. It returns the index of the first new entry, 0 if there is none.
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

// truncate removes the entry at index and all later ones.
func (l *Log) truncate(index uint64) {
	if index <= l.Commit {
		panic("entries: a committed entry conflicts with the leader's")
	}
	l.entries = append([]*wire.Entry(nil), l.entries[:index-l.Offset-1]...)
	l.Synced = min(l.Synced, index-1)
}

// ConflictHint returns the last index before index whose entry has another term, but does not search below Commit.
func (l *Log) ConflictHint(index uint64) uint64 {
	term, _ := l.Term(index)
	for index > l.Commit {
		index--
		if t, ok := l.Term(index); !ok || t != term {
			return index
		}
	}
	return index
}

// TailBefore returns the index after which the last entries up to index begin that are at most count and have at most the given bytes.
func (l *Log) TailBefore(index, count, bytes uint64) uint64 {
	index = min(index, l.Last())
	for ; index > l.Offset && count > 0; count-- {
		size := uint64(len(l.entries[index-l.Offset-1].GetData()))
		if size > bytes {
			break
		}
		bytes -= size
		index--
	}
	return index
}

// Compact removes the entries up to index, which must be committed; otherwise it does nothing.
func (l *Log) Compact(index uint64) {
	if index <= l.Offset || index > l.Commit {
		return
	}
	term, _ := l.Term(index)
	l.entries = append([]*wire.Entry(nil), l.Slice(index+1, l.Last())...)
	l.Offset, l.offsetTerm = index, term
}

// Reset replaces the whole log by a snapshot at the given index and term.
func (l *Log) Reset(index, term uint64) {
	*l = Log{Offset: index, offsetTerm: term, Commit: index, Synced: index}
}
