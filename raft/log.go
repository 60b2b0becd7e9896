package raft

import "daisyswitch/wire"

// log holds the entries after its offset; what lies at or before it is in a snapshot.
type log struct {
	offset     uint64
	offsetTerm uint64
	entries    []*wire.Entry // entries[0] has index offset+1
	commit     uint64
	synced     uint64 // last index that is on disk
}

func (l *log) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

// term returns the term of the entry at index; ok is false outside of the log.
func (l *log) term(index uint64) (term uint64, ok bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// upToDate says whether a log that ends with the given entry holds at least what this one holds.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// slice returns the entries from first up to last, both included.
func (l *log) slice(first, last uint64) []*wire.Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.offset-1 : last-l.offset]
}

// add appends entries whose indexes follow the last one.
func (l *log) add(entries ...*wire.Entry) {
	l.entries = append(l.entries, entries...)
}

// merge takes over the entries after a matching previous one and removes what conflicts with them.
func (l *log) merge(entries []*wire.Entry) {
	for i, e := range entries {
		if e.GetIndex() <= l.offset {
			continue
		}
		term, ok := l.term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		if ok {
			l.truncate(e.GetIndex())
		}
		l.add(entries[i:]...)
		return
	}
}

// truncate removes the entries from index on.
func (l *log) truncate(index uint64) {
	if index <= l.commit {
		panic("raft: a committed entry conflicts with the leader's")
	}
	l.entries = append([]*wire.Entry(nil), l.entries[:index-l.offset-1]...)
	l.synced = min(l.synced, index-1)
}

// conflict returns the last index before the run of the term that stands at index.
func (l *log) conflict(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.commit {
		index--
		if t, ok := l.term(index); !ok || t != term {
			return index
		}
	}
	return index
}

// compact forgets the entries up to index.
func (l *log) compact(index uint64) {
	if index <= l.offset || index > l.commit {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*wire.Entry(nil), l.slice(index+1, l.last())...)
	l.offset, l.offsetTerm = index, term
}

// reset replaces the whole log by a snapshot.
func (l *log) reset(index, term uint64) {
	*l = log{offset: index, offsetTerm: term, commit: index, synced: index}
}
