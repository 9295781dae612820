// Package tcp makes connections that notice when the other end is gone for good.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Dialer returns a dialer. A connection is given up when it is not made within
// timeout, when sent data is not acknowledged for silence, or after about silence
// without any sign of the other end: something on the way may have lost track of it,
// and without these the kernel would wait for minutes to hours.
func Dialer(timeout, silence time.Duration) net.Dialer {
	const probes = 3
	probeInterval := max(silence/(probes+1), time.Second)
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes},
		Control:         userTimeout(silence),
	}
}

// userTimeout sets how long sent data may go unacknowledged. Without it the kernel
// resends for minutes on a connection whose other end is gone for good.
func userTimeout(d time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.CombineErrors(err, sockErr)
	}
}
