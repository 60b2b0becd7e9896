package main

// scenarios holds the cases by name. Each registers itself.
var scenarios = map[string]scenario{}

// onlyB returns the one executor with the label b.
func (in *installation) onlyB() *executor {
	return in.executors[len(in.executors)-1]
}
