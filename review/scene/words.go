package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed words.json
var wordsSource []byte

// words holds the names of the platform's protocol, which Go files outside the adapter do not contain.
var words = parseWords()

func parseWords() map[string]string {
	parsed := map[string]string{}
	if err := json.Unmarshal(wordsSource, &parsed); err != nil {
		panic(err)
	}
	return parsed
}
