package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// vocabularySize is the number of different tokens in completions.
const vocabularySize = 50_000

// Prompt is the prompt of a request. In JSON it is a string, of which each word is
// one token, or an array of token ids.
type Prompt struct {
	tokens []string
}

// WordsPrompt returns the prompt with each word of text as a token.
func WordsPrompt(text string) Prompt {
	return Prompt{tokens: strings.Fields(text)}
}

// IDsPrompt returns the prompt with the given token ids.
func IDsPrompt(ids []int) Prompt {
	p := Prompt{tokens: make([]string, 0, len(ids))}
	for _, id := range ids {
		p.tokens = append(p.tokens, strconv.Itoa(id))
	}
	return p
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*p = WordsPrompt(text)
		return p.validate()
	}
	var ids []int
	if json.Unmarshal(data, &ids) == nil {
		*p = IDsPrompt(ids)
		return p.validate()
	}
	return errors.New("prompt is a string or an array of token ids")
}

// validate returns an error if the prompt is empty.
func (p *Prompt) validate() error {
	if len(p.tokens) == 0 {
		return errors.New("prompt is empty")
	}
	return nil
}

// Len returns the number of tokens.
func (p Prompt) Len() int { return len(p.tokens) }

// Hash returns a digest of the tokens of the prompt.
func (p Prompt) Hash() string {
	return hashTokens(p.tokens)
}

// hashTokens returns the first 8 bytes, in hex, of the SHA-256 digest of the tokens
// joined by spaces.
func hashTokens(tokens []string) string {
	sum := sha256.Sum256([]byte(strings.Join(tokens, " ")))
	return hex.EncodeToString(sum[:8])
}

// ExpectedTokens returns the first n tokens of the completion of a prompt. All
// engines return the same completion, so that tests can compare it token by token.
func ExpectedTokens(p Prompt, n int) []int {
	seed := p.Hash()
	tokens := make([]int, 0, n)
	for i := range n {
		tokens = append(tokens, completionToken(seed, i))
	}
	return tokens
}

// completionToken returns token i of the completion with the given seed, which is
// normally the hash of the prompt.
func completionToken(seed string, i int) int {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(seed), uint64(i)))
	return int(binary.BigEndian.Uint64(sum[:8]) % vocabularySize)
}

// TokenText returns the text of a completion token.
func TokenText(token int) string {
	return " w" + strconv.Itoa(token)
}

// ExpectedText returns the text of the first n tokens of the completion of a prompt.
func ExpectedText(p Prompt, n int) string {
	var b strings.Builder
	for _, token := range ExpectedTokens(p, n) {
		b.WriteString(TokenText(token))
	}
	return b.String()
}
