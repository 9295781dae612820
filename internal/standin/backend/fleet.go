// A set of stand-in backend servers in one process.

package backend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Fleet is a set of stand-ins in one process, each on its own port.
type Fleet struct {
	Servers     []*Server
	Addresses   []netip.AddrPort
	httpServers []*http.Server
	startLog    *os.File
}

// Listen starts the stand-ins. The first one listens on the address in the settings and the others on
// the following ports. With port 0, all listen on free ports.
func Listen(c schema.BackendSettings) (*Fleet, error) {
	f := &Fleet{}
	if c.WitnessFile != "" {
		var err error
		if f.startLog, err = os.OpenFile(c.WitnessFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, errors.Wrap(err, "--witness-file")
		}
	}
	for i := range int(c.Count) {
		address := c.Address
		if address.Port() != 0 {
			address = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		}
		if err := f.listen(address, c); err != nil {
			return nil, errors.CombineErrors(err, f.Close())
		}
	}
	return f, nil
}

func (f *Fleet) listen(address netip.AddrPort, c schema.BackendSettings) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "listening for a stand-in backend server")
	}
	s := NewServer(int(c.Slots), c.RunTime)
	if f.startLog != nil {
		s.startLog = f.startLog
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	f.Servers = append(f.Servers, s)
	f.Addresses = append(f.Addresses, l.Addr().(*net.TCPAddr).AddrPort())
	f.httpServers = append(f.httpServers, server)
	go server.Serve(netutil.LimitListener(l, int(c.Connections)))
	return nil
}

// Close stops the stand-ins and closes the connections of running tasks.
func (f *Fleet) Close() error {
	var err error
	for _, h := range f.httpServers {
		err = errors.CombineErrors(err, h.Close())
	}
	if f.startLog != nil {
		err = errors.CombineErrors(err, f.startLog.Close())
	}
	return err
}

// Shutdown stops the stand-ins after their running tasks have ended.
func (f *Fleet) Shutdown(ctx context.Context) error {
	var err error
	for _, h := range f.httpServers {
		err = errors.CombineErrors(err, h.Shutdown(ctx))
	}
	return err
}
