package engine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// prefixBlock is the number of tokens between two prefix hashes.
	prefixBlock = 256
	// prefixHashBytes is the length of a prefix hash before hex encoding.
	prefixHashBytes = 8
)

// Prompt is a prompt: a string, or an array of token ids.
type Prompt struct {
	text string
	ids  []int
}

// TextPrompt returns a prompt of text.
func TextPrompt(s string) Prompt { return Prompt{text: s} }

// TokenPrompt returns a prompt of token ids.
func TokenPrompt(ids []int) Prompt { return Prompt{ids: ids} }

// MarshalJSON implements json.Marshaler.
func (p Prompt) MarshalJSON() ([]byte, error) {
	if p.ids != nil {
		return json.Marshal(p.ids)
	}
	return json.Marshal(p.text)
}

// UnmarshalJSON implements json.Unmarshaler and checks the prompt. Its errors
// have kind BadRequest.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	*p = Prompt{}
	switch data = bytes.TrimSpace(data); {
	case len(data) > 0 && data[0] == '"':
		if err := json.Unmarshal(data, &p.text); err != nil {
			return fault.Wrap(err, fault.BadRequest, "prompt is not a valid string")
		}
	case len(data) > 0 && data[0] == '[':
		if err := json.Unmarshal(data, &p.ids); err != nil {
			return fault.Wrap(err, fault.BadRequest, "prompt is not an array of token ids")
		}
	default:
		return fault.New(fault.BadRequest, "prompt must be a string or an array of token ids")
	}
	return p.Check()
}

// Check returns an error of kind BadRequest if the prompt has no token.
func (p Prompt) Check() error {
	if len(p.ids) == 0 && strings.TrimSpace(p.text) == "" {
		return fault.New(fault.BadRequest, "prompt is empty")
	}
	for _, id := range p.ids {
		if id < 0 {
			return fault.New(fault.BadRequest, "prompt has the negative token id %d", id)
		}
	}
	return nil
}

// Contains reports whether s stands in the text of the prompt.
func (p Prompt) Contains(s string) bool { return strings.Contains(p.text, s) }

// UpperTokens returns the most tokens that the prompt can have, when one token
// has at least minBytes bytes of text.
func (p Prompt) UpperTokens(minBytes int) ident.Tokens {
	if p.ids != nil {
		return ident.Tokens(len(p.ids))
	}
	minBytes = max(minBytes, 1)
	return ident.Tokens((len(p.text) + minBytes - 1) / minBytes)
}

// PrefixHashes returns the hashes of the first 256 tokens, the first 512, and
// so on, as engines name them in their cache events.
func (p Prompt) PrefixHashes() []string {
	words := p.words()
	hashes := make([]string, 0, len(words)/prefixBlock)
	h := sha256.New()
	for i, word := range words {
		if i > 0 {
			h.Write([]byte{' '})
		}
		h.Write([]byte(word))
		if (i+1)%prefixBlock == 0 {
			hashes = append(hashes, hex.EncodeToString(h.Sum(nil)[:prefixHashBytes]))
		}
	}
	return hashes
}

// words returns the tokens as engines hash them.
func (p Prompt) words() []string {
	if p.ids == nil {
		return strings.Fields(p.text)
	}
	words := make([]string, len(p.ids))
	for i, id := range p.ids {
		words[i] = strconv.Itoa(id)
	}
	return words
}
