package encoder

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxArrayDepth bounds how deep arrays lie in each other; no message of ours is deeper.
const maxArrayDepth = 8

// maxUncheckedBytes is the size in bytes up to which nesting alone can do no harm.
const maxUncheckedBytes = 64 << 10

// validateBody refuses what a stranger could exhaust the memory with. The library
// makes room for all elements of an array before it reads the first, so an array
// must not claim more elements than bytes are left. And it descends into whatever it
// skips, so a large body must not be nested deep. A small body without the codes of
// long arrays has no array of more than 15 elements and needs no look.
func validateBody(body []byte) error {
	long := bytes.IndexByte(body, msgpcode.Array16) >= 0 || bytes.IndexByte(body, msgpcode.Array32) >= 0
	if !long && len(body) <= maxUncheckedBytes {
		return nil
	}
	r := bytes.NewReader(body)
	return validateValue(msgpack.NewDecoder(r), r, maxArrayDepth)
}

// validateValue checks the next value and everything in it.
func validateValue(dec *msgpack.Decoder, r *bytes.Reader, depth int) error {
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		return errors.New("a map has no place in a message")
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 && code != msgpcode.Array32 {
		return dec.Skip()
	}
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > r.Len() {
		return errors.Errorf("an array claims %d elements, and %d bytes are left", n, r.Len())
	}
	if depth == 0 {
		return errors.Errorf("arrays lie more than %d deep", maxArrayDepth)
	}
	for range n {
		if err := validateValue(dec, r, depth-1); err != nil {
			return err
		}
	}
	return nil
}
