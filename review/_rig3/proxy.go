package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"

	"github.com/dandeliongrade/dandeliongrade/internal/link/encoder"
	"github.com/dandeliongrade/dandeliongrade/internal/link/framer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// proxies forward connections between processes, and drop silently what passes between two that are cut off from
// each other.
type proxies struct {
	rec *record

	mu   sync.Mutex
	cuts map[[2]string]bool
	// changed is closed when cuts changes.
	changed chan struct{}
}

// cut cuts two processes off from each other, or joins them again.
func (p *proxies) cut(on bool, a, b string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cuts == nil {
		p.cuts = make(map[[2]string]bool)
	}
	p.cuts[[2]string{a, b}], p.cuts[[2]string{b, a}] = on, on
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
	if on {
		p.rec.logf("%s and %s are cut off from each other", a, b)
	} else {
		p.rec.logf("%s and %s reach each other again", a, b)
	}
}

// pass waits until two processes reach each other, and reports whether ctx goes on.
func (p *proxies) pass(ctx context.Context, a, b string) bool {
	for {
		p.mu.Lock()
		cut, changed := p.cuts[[2]string{a, b}], p.changed
		p.mu.Unlock()
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// listenPlain forwards the connections of one process to a target.
func (p *proxies) listenPlain(ctx context.Context, from, to, target string) (string, error) {
	return p.listen(ctx, func(conn net.Conn) { p.forward(ctx, conn, nil, from, to, target) })
}

// listenLink forwards connections to the link port of a gateway. The first message on each names the process that
// has dialled.
func (p *proxies) listenLink(ctx context.Context, to, target string) (string, error) {
	return p.listen(ctx, func(conn net.Conn) {
		var first bytes.Buffer
		body, err := framer.Read(io.TeeReader(conn, &first), nil)
		if err != nil {
			conn.Close()
			return
		}
		message, err := encoder.Decode(body)
		hello, ok := message.(*registrar.Hello)
		if err != nil || !ok {
			conn.Close()
			return
		}
		from := string(hello.Entry)
		if hello.Agent != "" {
			from = string(hello.Agent)
		}
		p.forward(ctx, conn, first.Bytes(), from, to, target)
	})
}

func (p *proxies) listen(ctx context.Context, serve func(net.Conn)) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String(), nil
}

// forward dials the target and copies both ways. What comes during a cut is held back, as a network would send it
// again after the cut; the ends have usually closed the connection by then.
func (p *proxies) forward(ctx context.Context, conn net.Conn, first []byte, from, to, target string) {
	defer conn.Close()
	if !p.pass(ctx, from, to) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	if _, err := out.Write(first); err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(); out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	copyTo := func(w, r net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			n, err := r.Read(b)
			if !p.pass(ctx, from, to) {
				return
			}
			if n > 0 {
				if _, err := w.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyTo(out, conn)
	go copyTo(conn, out)
	<-done
}
