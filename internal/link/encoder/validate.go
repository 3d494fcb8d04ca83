package encoder

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxArrayDepth bounds the nesting of arrays; no message type is nested deeper.
const maxArrayDepth = 8

// maxUncheckedBytes is the largest body, in bytes, that is decoded without a check
// when it has no long arrays: nesting alone is harmless at that size.
const maxUncheckedBytes = 64 << 10

// validateBody rejects bodies that could exhaust the memory of the process. The
// msgpack library allocates all elements of an array before it decodes the first, so
// the length of an array must not exceed the number of bytes left. The library also
// recurses into values that it skips, so a large body must not be nested deeply. A
// small body without the codes of long arrays has no array of more than 15 elements
// and is not checked.
func validateBody(body []byte) error {
	long := bytes.IndexByte(body, msgpcode.Array16) >= 0 || bytes.IndexByte(body, msgpcode.Array32) >= 0
	if !long && len(body) <= maxUncheckedBytes {
		return nil
	}
	r := bytes.NewReader(body)
	return validateValue(msgpack.NewDecoder(r), r, maxArrayDepth)
}

// validateValue checks the next value and, recursively, its elements. Depth is the
// number of further levels of arrays that are allowed.
func validateValue(dec *msgpack.Decoder, r *bytes.Reader, depth int) error {
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		return errors.New("maps are not allowed in a message")
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 && code != msgpcode.Array32 {
		return dec.Skip()
	}
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > r.Len() {
		return errors.Errorf("array of %d elements exceeds the %d bytes left", n, r.Len())
	}
	if depth == 0 {
		return errors.Errorf("arrays are nested more than %d deep", maxArrayDepth)
	}
	for range n {
		if err := validateValue(dec, r, depth-1); err != nil {
			return err
		}
	}
	return nil
}
