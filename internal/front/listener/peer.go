package listener

import (
	"context"
	"net"
	"syscall"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"golang.org/x/sys/unix"
)

// connKey is the key of the connection in the contexts of WithPeerState.
type connKey struct{}

// WithPeerState makes PeerConnected work with the contexts of handlers.
func WithPeerState() config.Option {
	return server.WithOnAccept(func(conn net.Conn) context.Context {
		return context.WithValue(context.Background(), connKey{}, conn)
	})
}

// PeerConnected reports whether the peer has not closed the connection on which the request with
// context ctx came, as far as this machine has been told. It asks the kernel: ctx ends only when a
// goroutine has read the close, which takes long while the process is short of processor time.
func PeerConnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	conn, ok := ctx.Value(connKey{}).(*idleConn)
	if !ok {
		return true
	}
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	// Control takes no lock for reading, which the goroutine that waits for the close holds.
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n > 0 || err == unix.EAGAIN || err == unix.EINTR
	})
	return err == nil && open
}
