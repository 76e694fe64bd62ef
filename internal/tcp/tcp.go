// Package tcp tells a reset of a TCP connection from an orderly end.
//
// The system reports a reset to one call only, which may be a write that runs beside the
// read. The read then sees the end of the stream, as after an orderly close, and a
// response whose end is that of its connection seems to be complete. Conn reports the
// reset to the read too.
//
// The end of the stream does not show either that the peer has received all that was
// written: once a process has closed its connection, further bytes cause a reset, which
// may come after the read. AwaitDelivery waits for the one or the other.
//
// This side must not half close a Conn, since the state that marks a reset is then also
// reached by an orderly close.
//
// # Usage
//
//	conn := tcp.Conn{Conn: nc}
//	data, err := io.ReadAll(conn) // ECONNRESET after a reset
//	if err == nil {
//		err = conn.AwaitDelivery(ctx) // ECONNRESET if the request was cut off
//	}
package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stateClosed is the state of a connection that was reset, in the numbering of the
	// system.
	stateClosed = 7
	// firstPoll and lastPoll are the first and the longest pause between two checks whether
	// the peer has acknowledged all bytes.
	firstPoll = 200 * time.Microsecond
	lastPoll  = 10 * time.Millisecond
)

// Conn is a connection whose Read reports each reset. Connections other than TCP are
// unchanged.
type Conn struct{ net.Conn }

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if info, ok := c.info(); ok && info.State == stateClosed {
			err = syscall.ECONNRESET
		}
	}
	return n, err
}

// AwaitDelivery waits until the peer has acknowledged all bytes that were written. The
// error is ECONNRESET if the connection is reset before.
func (c Conn) AwaitDelivery(ctx context.Context) error {
	for pause := firstPoll; ; pause = min(2*pause, lastPoll) {
		info, ok := c.info()
		switch {
		case !ok:
			return nil
		case info.State == stateClosed:
			return syscall.ECONNRESET
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// SyscallConn implements syscall.Conn.
func (c Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// info returns the state of the connection. The result is false if the system has none.
func (c Conn) info() (info *unix.TCPInfo, ok bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, false
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) //nolint:gosec // a descriptor
	})
	return info, err == nil && infoErr == nil
}
