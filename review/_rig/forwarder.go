package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// forwarder is a TCP proxy that can hold back the bytes to its target. When they are released, they
// arrive in order, and behind them the end of the connection if its sender has closed it.
type forwarder struct {
	addr netip.AddrPort

	mu      sync.Mutex
	blocked chan struct{}
}

// newForwarder starts a forwarder to a target.
func (r *rig) newForwarder(target netip.AddrPort) (*forwarder, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &forwarder{addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	r.spawn(func() {
		<-r.ctx.Done()
		_ = ln.Close()
		f.release()
	})
	r.spawn(func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(in, out)
				_ = in.Close()
			}()
			go f.relay(in, out)
		}
	})
	return f, nil
}

// relay passes on the bytes to the target, and then the end of the connection.
func (f *forwarder) relay(in, out net.Conn) {
	defer func() { _ = out.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		f.wait()
		if n > 0 {
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait blocks while bytes are held back.
func (f *forwarder) wait() {
	f.mu.Lock()
	blocked := f.blocked
	f.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
}

// hold holds bytes back until release.
func (f *forwarder) hold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = make(chan struct{})
}

// release passes on what was held back.
func (f *forwarder) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked != nil {
		close(f.blocked)
		f.blocked = nil
	}
}
