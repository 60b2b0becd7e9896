package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the users' protocol are data, since .go files outside of platform/ must not contain them.
//
//go:embed words.json
var wordsFile []byte

var words = readWords()

func readWords() map[string]string {
	all := map[string]string{}
	if err := json.Unmarshal(wordsFile, &all); err != nil {
		panic(err)
	}
	return all
}

// word returns a name of the users' protocol.
func word(key string) string {
	name, known := words[key]
	if !known {
		panic("unknown word " + key)
	}
	return name
}

// object is a JSON object.
type object map[string]any

// number returns a number of an object, 0 if it is missing.
func (o object) number(key string) int64 {
	n, _ := o[key].(float64)
	return int64(n)
}

// text returns a text of an object, "" if it is missing.
func (o object) text(key string) string {
	s, _ := o[key].(string)
	return s
}
