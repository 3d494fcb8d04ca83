package identifier

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// MaxKeyLength is the maximum length of a submission key, in bytes.
const MaxKeyLength = 128

// NewKey returns a new submission key, a UUIDv7 (RFC 9562) whose timestamp is now, in
// milliseconds.
func NewKey(now time.Time) (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "mint a submission key")
	}
	ms := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String(), nil
}

// KeyTime returns the timestamp of a key that is a UUIDv7, and whether it is one.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for i := range 6 {
		ms = ms<<8 | int64(id[i])
	}
	return time.UnixMilli(ms), true
}
