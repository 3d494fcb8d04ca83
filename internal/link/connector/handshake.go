package connector

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/link/encoder"
	"github.com/dandeliongrade/dandeliongrade/internal/link/framer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// VersionError reports a peer with another version of the link protocol.
type VersionError struct {
	PeerVersion int
}

// Error returns both versions and the remedy.
func (e *VersionError) Error() string {
	return errors.Errorf("the peer uses version %d of the link protocol and this process version %d; run one version of the program in a cell",
		e.PeerVersion, registrar.ProtocolVersion).Error()
}

// UnexpectedMessageError reports a message of a type that is not allowed in the current
// state of the link.
type UnexpectedMessageError struct {
	Message any
}

// Error returns the type of the message and the remedy.
func (e *UnexpectedMessageError) Error() string {
	return errors.Errorf("message %T is not expected here; only processes of this cell may dial a link port", e.Message).Error()
}

// DialFunc opens a connection to a link port.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", to.String())
}

// Dial connects to a link port, sends hello and waits for the peer's welcome. It fails
// if the peer has another protocol version.
func Dial(ctx context.Context, dial DialFunc, to netip.AddrPort, timing Timing, hello registrar.Hello) (*Link, registrar.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timing.responseTimeout())
	defer cancel()
	conn, err := connect(ctx, dial, to)
	if err != nil {
		return nil, registrar.Welcome{}, errors.Wrap(err, "dial a link")
	}
	hello.Version = registrar.ProtocolVersion
	message, err := sendHello(conn, timing, &hello)
	if err != nil {
		_ = conn.Close()
		return nil, registrar.Welcome{}, err
	}
	welcome, ok := message.(*registrar.Welcome)
	if !ok {
		_ = conn.Close()
		return nil, registrar.Welcome{}, &UnexpectedMessageError{message}
	}
	if welcome.Version != registrar.ProtocolVersion {
		_ = conn.Close()
		return nil, registrar.Welcome{}, &VersionError{welcome.Version}
	}
	return NewLink(conn, timing), *welcome, nil
}

// sendHello sends a hello and returns the reply. Both must complete within the response
// timeout.
func sendHello(conn net.Conn, timing Timing, hello any) (any, error) {
	if err := conn.SetDeadline(time.Now().Add(timing.responseTimeout())); err != nil {
		return nil, err
	}
	if err := writeMessage(conn, hello); err != nil {
		return nil, err
	}
	reply, err := readMessage(conn)
	if err != nil {
		return nil, errors.Wrap(err, "wait for the welcome on a link")
	}
	return reply, conn.SetDeadline(time.Time{})
}

// Accept receives the hello of a peer that dialled and replies with welcome. The welcome
// is sent before the versions are compared, so that a peer with another version fails
// with a VersionError too.
func Accept(conn net.Conn, timing Timing, welcome registrar.Welcome) (*Link, registrar.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(timing.responseTimeout())); err != nil {
		return nil, registrar.Hello{}, err
	}
	message, err := readMessage(conn)
	if err != nil {
		return nil, registrar.Hello{}, err
	}
	hello, ok := message.(*registrar.Hello)
	if !ok {
		return nil, registrar.Hello{}, &UnexpectedMessageError{message}
	}
	welcome.Version = registrar.ProtocolVersion
	if err := writeMessage(conn, &welcome); err != nil {
		return nil, registrar.Hello{}, err
	}
	if hello.Version != registrar.ProtocolVersion {
		return nil, registrar.Hello{}, &VersionError{hello.Version}
	}
	return NewLink(conn, timing), *hello, conn.SetDeadline(time.Time{})
}

// writeMessage writes one message as a frame.
func writeMessage(conn net.Conn, message any) error {
	b, err := framer.Append(nil, func(b []byte) ([]byte, error) {
		return encoder.Append(b, message)
	})
	if err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// readMessage reads one frame, without buffering, and decodes its message.
func readMessage(conn net.Conn) (any, error) {
	body, err := framer.Read(conn, nil)
	if err != nil {
		return nil, err
	}
	return encoder.Decode(body)
}
