// Package tcp makes TCP connections that detect within a set time that the other end is gone.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Dialer returns a dialer whose connections fail in three cases: the connection is not made within timeout,
// sent data stays unacknowledged for silence, or the other end is silent for about silence. Something on the
// path may have lost track of the connection. Without these limits the kernel would wait for minutes to
// hours.
func Dialer(timeout, silence time.Duration) net.Dialer {
	const probes = 3
	probeInterval := max(silence/(probes+1), time.Second)
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes},
		Control:         userTimeout(silence),
	}
}

// userTimeout returns a function that limits how long sent data may stay unacknowledged. Without this limit
// the kernel resends data for minutes on a connection whose other end is gone.
func userTimeout(d time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.CombineErrors(err, sockErr)
	}
}
