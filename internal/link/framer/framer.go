// Package framer cuts a byte stream into frames: a length of four bytes, most
// significant first, and that many bytes of body.
package framer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxBodyBytes is the largest body of a frame, in bytes.
const MaxBodyBytes = 8 << 20

// headerBytes is the size of the length before each body, in bytes.
const headerBytes = 4

// firstReadBytes bounds what is allocated for a body before any of it has arrived, so
// that a false length costs no memory.
const firstReadBytes = 64 << 10

// TooLargeError reports a frame over MaxBody.
type TooLargeError struct {
	// Size is the length that the frame has or claims, in bytes.
	Size int
}

// Error names the remedy.
func (e *TooLargeError) Error() string {
	return errors.Errorf("frame of %d bytes is over the limit of %d; send smaller inputs, or fewer in a job", e.Size, MaxBodyBytes).Error()
}

// Append adds a frame to dst. The body is what fill appends to it.
func Append(dst []byte, appendBody func([]byte) ([]byte, error)) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, headerBytes)...)
	dst, err := appendBody(dst)
	if err != nil {
		return dst[:start], err
	}
	size := len(dst) - start - headerBytes
	if size > MaxBodyBytes {
		return dst[:start], &TooLargeError{size}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(size))
	return dst, nil
}

// Read reads the next frame from r and returns its body, in buf when it fits.
func Read(r io.Reader, buf []byte) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > MaxBodyBytes {
		return nil, &TooLargeError{size}
	}
	body := buf[:0]
	for len(body) < size {
		body = grow(body, min(size, max(firstReadBytes, 2*len(body))))
		n, err := io.ReadFull(r, body[len(body):min(size, cap(body))])
		body = body[:len(body)+n]
		if err != nil {
			return nil, errors.Wrap(unexpectedEOF(err), "read a frame")
		}
	}
	return body, nil
}

// grow returns b with room for at least size bytes in all.
func grow(b []byte, size int) []byte {
	if cap(b) >= size {
		return b
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	return grown
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
