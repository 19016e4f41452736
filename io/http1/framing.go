package http1

import (
	"bytes"
	"strconv"
)

// maxShortText is the size of a shortText: more than those of the names and values that framing reads.
const maxShortText = 32

// shortText collects the bytes of a name or a value without the blanks around it.
type shortText struct {
	bytes      [maxShortText]byte
	size       int
	endsBlank  bool // A blank was added after the bytes.
	isUnusable bool // Too long, or with a blank inside, as no text that framing reads is.
}

// add adds bytes.
func (t *shortText) add(data []byte) {
	for _, b := range data {
		switch {
		case isBlank(b):
			t.endsBlank = t.size > 0
		case t.endsBlank, t.size == maxShortText:
			t.isUnusable = true
			return
		default:
			t.bytes[t.size] = b
			t.size++
		}
	}
}

// text returns the collected bytes.
func (t *shortText) text() []byte { return t.bytes[:t.size] }

// equals reports whether the text is s, regardless of case.
func (t *shortText) equals(s []byte) bool { return !t.isUnusable && bytes.EqualFold(t.text(), s) }

// isNumber reports whether the text is a number that fits an int64.
func (t *shortText) isNumber() bool {
	if t.isUnusable {
		return false
	}
	_, err := strconv.ParseUint(string(t.text()), 10, 63)
	return err == nil
}

// framingField is the part that a field has in the framing of a message.
type framingField int

// The framing fields.
const (
	otherField framingField = iota
	lengthField
	codingField
)

// Names and values that framing reads.
var (
	lengthName   = []byte("Content-Length")
	codingName   = []byte("Transfer-Encoding")
	chunkedValue = []byte("chunked")
)

// framing checks the fields that tell the length of a body (RFC 9112, 6.1 to 6.3).
type framing struct {
	field       framingField // Of the current line, once its name has ended.
	name, value shortText    // Of the current line; the value only of a framing field.
	length      shortText
	hasLength   bool
	isChunked   bool
}

// add adds bytes of the name or the value of the current line.
func (f *framing) add(state lineState, data []byte) {
	switch {
	case state == inName:
		f.name.add(data)
	case state == inValue && f.field != otherField:
		f.value.add(data)
	}
}

// endName ends the name of the current line.
func (f *framing) endName() {
	switch {
	case f.name.equals(lengthName):
		f.field = lengthField
	case f.name.equals(codingName):
		f.field = codingField
	default:
		f.field = otherField
	}
	f.name, f.value = shortText{}, shortText{}
}

// endLine ends the value of the current line, of a message of the version 1.minor, and checks it.
func (f *framing) endLine(minor int) Problem {
	switch f.field {
	case lengthField:
		return f.addLength()
	case codingField:
		return f.addCoding(minor)
	case otherField:
	}
	return NoProblem
}

// addLength checks a Content-Length.
func (f *framing) addLength() Problem {
	switch {
	case !f.value.isNumber():
		return InvalidLength
	case f.hasLength && !bytes.Equal(f.value.text(), f.length.text()):
		return ConflictingLengths
	case f.isChunked:
		return CodingWithLength
	}
	f.length, f.hasLength = f.value, true
	return NoProblem
}

// addCoding checks a Transfer-Encoding.
func (f *framing) addCoding(minor int) Problem {
	switch {
	case f.isChunked, !f.value.equals(chunkedValue):
		return UnknownCoding
	case f.hasLength:
		return CodingWithLength
	case minor == 0:
		return CodingInHTTP10
	}
	f.isChunked = true
	return NoProblem
}
