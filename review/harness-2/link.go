//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// peerLink passes the connections of the other daemons to one daemon. It knows which daemon dials by the
// address in the dialer's first message.
type peerLink struct {
	address, target string
	// names are the addresses by which daemons name themselves.
	names []string

	mu       sync.Mutex
	listener net.Listener
	// cut tells which daemons' packets are lost.
	cut map[int]bool
}

func newPeerLink(ip, target string) (*peerLink, error) {
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	return &peerLink{address: fmt.Sprintf("%s:%d", ip, port), target: target, cut: make(map[int]bool)}, nil
}

// open listens, as a process that starts does.
func (p *peerLink) open() error {
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return nil
}

// close refuses connections from now on, as the address of an ended process does.
func (p *peerLink) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
	}
}

func (p *peerLink) isCut(dialer int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[dialer]
}

func (p *peerLink) setCut(dialer int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[dialer] = cut
}

// readFirst reads until the dialer has named itself; dialer is -1 if it doesn't within a second.
func (p *peerLink) readFirst(c net.Conn) (first []byte, dialer int) {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	b := make([]byte, 64<<10)
	for {
		n, err := c.Read(b)
		if err != nil {
			return first, -1
		}
		first = append(first, b[:n]...)
		for i, name := range p.names {
			if bytes.Contains(first, []byte(name)) {
				_ = c.SetReadDeadline(time.Time{})
				return first, i
			}
		}
	}
}

// pass copies one connection in both directions. While its link is cut, it loses what arrives, and the
// connection stays silent for good.
func (p *peerLink) pass(c net.Conn) {
	defer c.Close()
	first, dialer := p.readFirst(c)
	if dialer < 0 {
		return
	}
	if p.isCut(dialer) {
		_, _ = io.Copy(io.Discard, c) // until the dialer gives up
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	if _, err := t.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 64<<10)
		silent := false
		for {
			n, err := from.Read(b)
			if err != nil {
				return
			}
			if silent = silent || p.isCut(dialer); silent {
				continue
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
	}
	go forward(t, c)
	go forward(c, t)
	<-done
}
