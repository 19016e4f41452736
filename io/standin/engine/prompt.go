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

// vocabulary is the number of different tokens that answers consist of.
const vocabulary = 50_000

// Prompt is the prompt of a request: one token for each word of a string, or
// token ids.
type Prompt struct {
	tokens []string
}

// WordsPrompt returns the prompt that text stands for.
func WordsPrompt(text string) Prompt {
	return Prompt{tokens: strings.Fields(text)}
}

// IDsPrompt returns the prompt of the token ids.
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
		return p.check()
	}
	var ids []int
	if json.Unmarshal(data, &ids) == nil {
		*p = IDsPrompt(ids)
		return p.check()
	}
	return errors.New("prompt is a string or an array of token ids")
}

// check returns an error when the prompt is empty.
func (p *Prompt) check() error {
	if len(p.tokens) == 0 {
		return errors.New("prompt is empty")
	}
	return nil
}

// Len returns the number of tokens.
func (p Prompt) Len() int { return len(p.tokens) }

// Hash returns a digest of all tokens of the prompt.
func (p Prompt) Hash() string {
	return hashTokens(p.tokens)
}

// hashTokens returns the hex of the first 8 bytes of SHA-256 over the tokens
// joined by a space.
func hashTokens(tokens []string) string {
	sum := sha256.Sum256([]byte(strings.Join(tokens, " ")))
	return hex.EncodeToString(sum[:8])
}

// ExpectedTokens returns the first n tokens of the answer to a prompt. Every
// engine gives this answer, so that checks can compare token by token.
func ExpectedTokens(p Prompt, n int) []int {
	seed := p.Hash()
	tokens := make([]int, 0, n)
	for i := range n {
		tokens = append(tokens, answerToken(seed, i))
	}
	return tokens
}

// answerToken returns token i of the answer to the prompt with the given hash.
func answerToken(promptHash string, i int) int {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(promptHash), uint64(i)))
	return int(binary.BigEndian.Uint64(sum[:8]) % vocabulary)
}

// TokenText returns the text of a token.
func TokenText(token int) string {
	return " w" + strconv.Itoa(token)
}

// ExpectedText returns the text of the first n tokens of the answer.
func ExpectedText(p Prompt, n int) string {
	var b strings.Builder
	for _, token := range ExpectedTokens(p, n) {
		b.WriteString(TokenText(token))
	}
	return b.String()
}
