// Package framer reads and writes length-prefixed frames. A frame is a header of
// four bytes, which holds the length of the body in big-endian order, and the body.
package framer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxBodyBytes is the largest size of a frame's body.
const MaxBodyBytes = 8 << 20

// headerBytes is the size of the header that precedes each body.
const headerBytes = 4

// firstReadBytes bounds the allocation for a body before any of it has arrived, so
// that a header with a false length cannot exhaust the memory.
const firstReadBytes = 64 << 10

// TooLargeError reports a frame whose body exceeds MaxBodyBytes.
type TooLargeError struct {
	// Size is the actual or declared length of the body, in bytes.
	Size int
}

// Error returns the size, the limit and the remedy.
func (e *TooLargeError) Error() string {
	return errors.Errorf("frame of %d bytes is over the limit of %d; send smaller inputs, or fewer in a job", e.Size, MaxBodyBytes).Error()
}

// Append appends a frame to dst and returns the extended slice. The body of the frame
// is what appendBody appends. On an error, dst is returned without the frame.
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

// Read reads the next frame from r and returns its body. It uses the capacity of buf
// when the body fits. The buffer grows as the bytes arrive. Read returns io.EOF when
// the stream ends between two frames.
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

// grow returns b with a capacity of at least size bytes.
func grow(b []byte, size int) []byte {
	if cap(b) >= size {
		return b
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	return grown
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF: the stream has ended inside a
// frame.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
