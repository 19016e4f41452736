// Package http1 checks heads and chunked bodies of HTTP/1 messages as their bytes arrive, before a parser
// gets them. Parsers accept lines that other implementations read differently, or take a malformed line
// for a sound one.
package http1

//go:generate stringer -type=Problem -linecomment -output=problem_string.go

// Problem is what is wrong with a message. Its String has no bytes of the message.
type Problem int

// The problems.
const (
	NoProblem          Problem = iota // no problem
	ControlCharacter                  // control character in a line
	FoldedLine                        // folded line
	BlankInName                       // space or tab in the name of a field
	InvalidName                       // name of a field that is no token
	MissingColon                      // line without a colon
	InvalidStatusLine                 // malformed status line
	UnknownVersion                    // version other than HTTP/1
	InvalidLength                     // length that is not a number
	ConflictingLengths                // two different lengths
	UnknownCoding                     // transfer coding other than chunked
	CodingWithLength                  // length beside a transfer coding
	CodingInHTTP10                    // transfer coding in HTTP/1.0
	InvalidChunk                      // malformed chunk
)
