package engineapi

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
	// prefixBlockTokens is the number of tokens that each prefix hash adds to the one
	// before it.
	prefixBlockTokens = 256
	// prefixHashBytes is the length of a prefix hash before hex encoding.
	prefixHashBytes = 8
)

// Prompt is the prompt of a completion: a string or an array of token ids.
type Prompt struct {
	text string
	ids  []int
}

// TextPrompt returns a prompt given as text.
func TextPrompt(s string) Prompt { return Prompt{text: s} }

// TokenPrompt returns a prompt given as token ids.
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

// Check returns an error of kind BadRequest if the prompt is empty or has a negative
// token id.
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

// Contains reports whether the text of the prompt contains s. It is false for a
// non-empty s if the prompt is given as token ids.
func (p Prompt) Contains(s string) bool { return strings.Contains(p.text, s) }

// TokenUpperBound returns an upper bound of the number of tokens of the prompt, given
// that a token has at least minBytes bytes of text.
func (p Prompt) TokenUpperBound(minBytes int) ident.Tokens {
	if p.ids != nil {
		return ident.Tokens(len(p.ids))
	}
	minBytes = max(minBytes, 1)
	return ident.Tokens((len(p.text) + minBytes - 1) / minBytes)
}

// PrefixHashes returns the hashes of the first 256 tokens, the first 512 and so on.
// Engines identify prefixes by these hashes in their cache events.
func (p Prompt) PrefixHashes() []string {
	tokens := p.tokenTexts()
	hashes := make([]string, 0, len(tokens)/prefixBlockTokens)
	h := sha256.New()
	for i, token := range tokens {
		if i > 0 {
			h.Write([]byte{' '})
		}
		h.Write([]byte(token))
		if (i+1)%prefixBlockTokens == 0 {
			hashes = append(hashes, hex.EncodeToString(h.Sum(nil)[:prefixHashBytes]))
		}
	}
	return hashes
}

// tokenTexts returns the tokens in the text form that engines hash: the words of a
// text prompt, or the decimal token ids.
func (p Prompt) tokenTexts() []string {
	if p.ids == nil {
		return strings.Fields(p.text)
	}
	tokens := make([]string, len(p.ids))
	for i, id := range p.ids {
		tokens[i] = strconv.Itoa(id)
	}
	return tokens
}
