package main

import (
	_ "embed" // embeds words.json
	"encoding/json"
	"fmt"
	"os"
)

// wordsFile holds the names of the platform's protocol, which package platform alone may spell out in Go.
//
//go:embed words.json
var wordsFile []byte

var words = readWords()

func readWords() map[string]string {
	all := map[string]string{}
	if err := json.Unmarshal(wordsFile, &all); err != nil {
		fmt.Fprintln(os.Stderr, "words.json:", err)
		os.Exit(exitCannotRun)
	}
	return all
}

// word returns a name of the protocol by its key in words.json.
func word(key string) string {
	name, known := words[key]
	if !known {
		fmt.Fprintf(os.Stderr, "words.json has no %q\n", key)
		os.Exit(exitCannotRun)
	}
	return name
}

// body is a JSON object as sent or received.
type body map[string]any

func (b body) number(key string) int64 {
	n, isNumber := b[key].(float64)
	if !isNumber {
		return 0
	}
	return int64(n)
}

func (b body) text(key string) string {
	s, _ := b[key].(string)
	return s
}
