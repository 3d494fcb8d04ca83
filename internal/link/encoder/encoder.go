// Package encoder encodes and decodes the messages that processes exchange over
// links. An encoded message is one byte for its type, followed by its fields as a
// msgpack array. The packages that declare the messages do not depend on the
// encoding: only this package knows both the message types and their codes.
package encoder

import (
	"bytes"
	"reflect"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/load/tracker"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/distributor"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/router"
	"github.com/dandeliongrade/dandeliongrade/internal/member/extender"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/canceller"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/quarantiner"
)

// messageTypes maps type codes to message types. The code of a type never changes.
// A new type is added at the end, and registrar.ProtocolVersion is incremented.
var messageTypes = []reflect.Type{
	1:  reflect.TypeFor[registrar.Hello](),
	2:  reflect.TypeFor[registrar.Welcome](),
	3:  reflect.TypeFor[registrar.Heartbeat](),
	4:  reflect.TypeFor[registrar.Peers](),
	5:  reflect.TypeFor[starter.Start](),
	6:  reflect.TypeFor[starter.Ended](),
	7:  reflect.TypeFor[starter.NotStarted](),
	8:  reflect.TypeFor[starter.Revoke](),
	9:  reflect.TypeFor[starter.Revoked](),
	10: reflect.TypeFor[starter.Seal](),
	11: reflect.TypeFor[starter.Sealed](),
	12: reflect.TypeFor[starter.LeaseRequest](),
	13: reflect.TypeFor[starter.LeaseReply](),
	14: reflect.TypeFor[allocator.Grant](),
	15: reflect.TypeFor[allocator.Recall](),
	16: reflect.TypeFor[allocator.Return](),
	17: reflect.TypeFor[allocator.Want](),
	18: reflect.TypeFor[allocator.Leave](),
	19: reflect.TypeFor[owner.Submit](),
	20: reflect.TypeFor[owner.Inquire](),
	21: reflect.TypeFor[owner.Reply](),
	22: reflect.TypeFor[registrar.Bye](),
	23: reflect.TypeFor[owner.Handover](),
	24: reflect.TypeFor[extender.Request](),
	25: reflect.TypeFor[extender.Promise](),
	26: reflect.TypeFor[extender.SeenVersion](),
	27: reflect.TypeFor[allocator.LeaveAck](),
	28: reflect.TypeFor[starter.FinalReport](),
	29: reflect.TypeFor[executor.Start](),
	30: reflect.TypeFor[executor.Stop](),
	31: reflect.TypeFor[executor.Ended](),
	32: reflect.TypeFor[executor.Attach](),
	33: reflect.TypeFor[executor.Status](),
	34: reflect.TypeFor[executor.Load](),
	35: reflect.TypeFor[executor.Backlog](),
	36: reflect.TypeFor[executor.PermitRequest](),
	37: reflect.TypeFor[executor.Permit](),
	38: reflect.TypeFor[router.Manifest](),
	39: reflect.TypeFor[selector.Directory](),
	40: reflect.TypeFor[executor.Release](),
	41: reflect.TypeFor[distributor.Announcement](),
	42: reflect.TypeFor[distributor.Request](),
	43: reflect.TypeFor[executor.Crash](),
	44: reflect.TypeFor[quarantiner.Report](),
	45: reflect.TypeFor[arbiter.Claim](),
	46: reflect.TypeFor[arbiter.Grant](),
	47: reflect.TypeFor[arbiter.Contested](),
	48: reflect.TypeFor[arbiter.Recall](),
	49: reflect.TypeFor[arbiter.Yield](),
	50: reflect.TypeFor[evacuator.Update](),
	51: reflect.TypeFor[tracker.Report](),
	52: reflect.TypeFor[arbiter.Cancel](),
	53: reflect.TypeFor[arbiter.Cancelled](),
	54: reflect.TypeFor[canceller.Outcome](),
}

// typeCodes is the inverse of messageTypes.
var typeCodes = func() map[reflect.Type]byte {
	byType := make(map[reflect.Type]byte)
	for code, t := range messageTypes {
		if t != nil {
			byType[t] = byte(code)
		}
	}
	return byType
}()

// UnknownTypeError reports a message with a type code that is not in use.
type UnknownTypeError struct {
	Code byte
}

// Error returns the type code and the remedy.
func (e *UnknownTypeError) Error() string {
	return errors.Errorf("message of unknown type %d; run one version of the program on both sides of the link", e.Code).Error()
}

// MalformedError reports a message that cannot be decoded.
type MalformedError struct {
	Cause error
}

// Error returns the cause and the remedy.
func (e *MalformedError) Error() string {
	return "cannot decode the message: " + e.Cause.Error() + "; only processes of this cell may dial a link port"
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *MalformedError) Unwrap() error {
	return e.Cause
}

// appendWriter is an io.Writer that appends to a slice.
type appendWriter struct {
	buf []byte
}

func (w *appendWriter) Write(p []byte) (int, error) {
	w.buf = append(w.buf, p...)
	return len(p), nil
}

func (w *appendWriter) WriteByte(c byte) error {
	w.buf = append(w.buf, c)
	return nil
}

// pooledEncoder is a msgpack encoder with the writer that it writes to.
type pooledEncoder struct {
	w   appendWriter
	enc *msgpack.Encoder
}

var encoders = sync.Pool{New: func() any {
	p := &pooledEncoder{}
	p.enc = msgpack.NewEncoder(&p.w)
	p.enc.UseCompactInts(true)
	return p
}}

// Append appends the encoding of a message to dst and returns the extended slice.
// The message is passed as a pointer to one of the message types.
func Append(dst []byte, message any) ([]byte, error) {
	t := reflect.TypeOf(message)
	if t == nil || t.Kind() != reflect.Pointer {
		return dst, errors.Errorf("message %T is not a pointer; pass a pointer to a message type", message)
	}
	code, ok := typeCodes[t.Elem()]
	if !ok {
		return dst, errors.Errorf("message type %T has no code; add it to messageTypes", message)
	}
	p := encoders.Get().(*pooledEncoder)
	defer encoders.Put(p)
	p.w.buf = append(dst, code)
	err := p.enc.Encode(message)
	dst = p.w.buf
	p.w.buf = nil
	return dst, errors.Wrapf(err, "encode %T", message)
}

// Decode decodes body and returns a pointer to the message. It keeps no reference
// to body. The msgpack library panics on some malformed input; Decode recovers, so
// that input from outside the cell cannot crash the process.
func Decode(body []byte) (message any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			message, err = nil, &MalformedError{errors.Errorf("%v", cause)}
		}
	}()
	if len(body) == 0 {
		return nil, &MalformedError{errors.New("the body is empty")}
	}
	code := body[0]
	if int(code) >= len(messageTypes) || messageTypes[code] == nil {
		return nil, &UnknownTypeError{code}
	}
	if err := validateBody(body[1:]); err != nil {
		return nil, &MalformedError{err}
	}
	message = reflect.New(messageTypes[code]).Interface()
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(body[1:]))
	if err := dec.Decode(message); err != nil {
		return nil, &MalformedError{err}
	}
	return message, nil
}
