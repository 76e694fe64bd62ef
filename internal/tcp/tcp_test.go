package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (c Conn, peer *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	pc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = nc.Close()
		_ = pc.Close()
	})
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	return Conn{nc}, pc.(*net.TCPConn)
}

// TestReadAfterReset guards against a reset that was reported to a write, so that the
// data before it seems to end orderly.
func TestReadAfterReset(t *testing.T) {
	c, peer := connect(t)
	_, _ = io.WriteString(peer, "part")
	_ = peer.SetLinger(0)
	_ = peer.Close()
	var err error
	for err == nil {
		_, err = c.Write(make([]byte, 1<<10))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: got %v, want %v", err, syscall.ECONNRESET)
	}
	if got, err := io.ReadAll(c); string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, %v, want the data and %v", got, err, syscall.ECONNRESET)
	}
	if err := c.AwaitDelivery(t.Context()); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("delivery: got %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestReadAfterClose guards against an orderly end that is taken for a reset.
func TestReadAfterClose(t *testing.T) {
	c, peer := connect(t)
	_, _ = io.WriteString(c, "question")
	if _, err := io.ReadFull(peer, make([]byte, len("question"))); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, "answer")
	_ = peer.Close()
	if got, err := io.ReadAll(c); string(got) != "answer" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	if err := c.AwaitDelivery(t.Context()); err != nil {
		t.Errorf("delivery: %v", err)
	}
}

// TestAwaitDelivery guards against data that counts as received because it was written.
func TestAwaitDelivery(t *testing.T) {
	// This is more than the peer accepts before it reads.
	data := make([]byte, 32<<20)
	fill := func(c Conn) {
		_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = c.Write(data)
	}
	t.Run("closed", func(t *testing.T) {
		c, peer := connect(t)
		fill(c)
		time.AfterFunc(20*time.Millisecond, func() { _ = peer.Close() })
		if err := c.AwaitDelivery(t.Context()); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %v, want %v", err, syscall.ECONNRESET)
		}
	})
	t.Run("half closed", func(t *testing.T) {
		c, peer := connect(t)
		fill(c)
		_ = peer.CloseWrite()
		time.AfterFunc(20*time.Millisecond, func() { _, _ = io.Copy(io.Discard, peer) })
		if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
			t.Errorf("got %q, %v", got, err)
		}
		if err := c.AwaitDelivery(t.Context()); err != nil {
			t.Error(err)
		}
	})
	t.Run("not read", func(t *testing.T) {
		c, _ := connect(t)
		fill(c)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if err := c.AwaitDelivery(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
		}
	})
	t.Run("not TCP", func(t *testing.T) {
		nc, peer := net.Pipe()
		_ = peer.Close()
		c := Conn{nc}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("got %v, want %v", err, io.EOF)
		}
		if err := c.AwaitDelivery(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
