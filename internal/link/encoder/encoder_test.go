package encoder

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/framer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

var sampleTask = identifier.Task{Submission: identifier.Submission{Workspace: "nails_and_tacks", Key: "0191d6f0-0000-7000-8000-000000000001"}, Index: 17}

// sampleMessages returns one typical message of each frequent type, with minimal
// inputs and results.
func sampleMessages() []any {
	const incarnation = 1_796_369_950_235
	return []any{
		&starter.Start{Incarnation: incarnation, Partition: 63, Epoch: 12, Task: sampleTask, Attempt: 1, Digest: 1 << 63, Path: "/stock", Timeout: 10 * time.Second},
		&starter.Ended{Incarnation: incarnation, Task: sampleTask, Result: describer.Result{Outcome: describer.Succeeded}, GrantedSlots: 1},
		&starter.NotStarted{Incarnation: incarnation, Task: sampleTask, Epoch: 12, Attempt: 1, Reason: starter.Draining},
		&starter.LeaseRequest{Sequence: 100_000, Linked: []identifier.Entry{"entry-1", "entry-2"}},
		&starter.LeaseReply{Sequence: 100_000, Remaining: 3 * time.Second},
		&registrar.Heartbeat{},
		&allocator.Grant{Incarnation: incarnation, Slots: 1},
		&allocator.Want{Waiting: 10},
		&owner.Submit{Sequence: 7, Job: describer.Job{Submission: sampleTask.Submission, Created: time.UnixMilli(1_796_369_950_235), Template: "stock_lookup", Inputs: [][]byte{[]byte("{}")}}},
	}
}

// TestSizes checks the size of each sample message as a frame, in bytes, and that
// decoding returns the original message.
func TestSizes(t *testing.T) {
	var out strings.Builder
	for _, m := range sampleMessages() {
		frame, err := framer.Append(nil, func(b []byte) ([]byte, error) { return Append(b, m) })
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%-20s %4d\n", strings.TrimPrefix(reflect.TypeOf(m).String(), "*"), len(frame))
		body, err := framer.Read(bytes.NewReader(frame), nil)
		assert.NilError(t, err)
		decoded, err := Decode(body)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprintf("%+v", decoded), fmt.Sprintf("%+v", m))
	}
	golden.Assert(t, out.String(), "sizes.golden")
}

// TestHostileBodies decodes bodies that are malformed or, by deep nesting or a false
// array length, would exhaust the memory of a decoder that does not check them.
func TestHostileBodies(t *testing.T) {
	const peers, handover = 4, 23
	deep := append([]byte{handover}, bytes.Repeat([]byte{0x91}, 1<<20)...)
	wide := []byte{peers, 0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff}
	maps := append([]byte{handover, 0xdc, 0, 1}, bytes.Repeat([]byte{0x81, 0x01}, 1<<10)...)
	var out strings.Builder
	for _, body := range [][]byte{nil, {0}, {255}, deep, wide, maps, {peers}} {
		_, err := Decode(body)
		out.WriteString(err.Error() + "\n")
	}
	golden.Assert(t, out.String(), "hostile.golden")
}

// FuzzDecode decodes arbitrary bodies. Decode must return an error or a message that
// can be encoded again, and must not panic.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		b, err := Append(nil, m)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := Decode(body)
		if err != nil {
			return
		}
		_, err = Append(nil, m)
		assert.NilError(t, err)
	})
}

// FuzzFrame reads a frame from an arbitrary stream. The body returned must not be
// longer than the stream, whatever length the header claims.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0x7f, 0xff, 0xff, 1, 2})
	f.Fuzz(func(t *testing.T, stream []byte) {
		body, err := framer.Read(bytes.NewReader(stream), nil)
		if err == nil {
			assert.Assert(t, len(body) <= len(stream))
		}
	})
}

// TestFullMessages encodes and decodes a message of each type in which all fields are set and
// all lists are long. It guards against types that can be sent but not received, which would
// end each link that carries one.
func TestFullMessages(t *testing.T) {
	for code, typ := range messageTypes {
		if typ == nil {
			continue
		}
		m := reflect.New(typ)
		fill(m.Elem())
		body, err := Append(nil, m.Interface())
		assert.NilError(t, err, "%s", typ)
		decoded, err := Decode(body)
		assert.NilError(t, err, "type %d, %s", code, typ)
		assert.Equal(t, fmt.Sprintf("%+v", decoded), fmt.Sprintf("%+v", m.Interface()), "%s", typ)
	}
}

// fill sets a value and all that it contains to something other than zero.
func fill(v reflect.Value) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.UnixMilli(1_796_369_950_235)))
		return
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("10.0.0.1:7000")))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 20, 20))
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1)
	}
}
