// The addresses of the tests' daemons, and the test that a process keeps its range of ports.

package leased

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// nextPort numbers the ports that tests get. They are below the kernel's range of ephemeral ports:
// the kernel could give a port of that range to a connection while the port's daemon restarts.
var nextPort atomic.Int32

// Each test process uses a range of ports of its own. With a shared range, the callers of one
// process could send their jobs to the daemons of another.
const (
	firstRangePort = 21000
	portRanges     = 19
	portsPerRange  = 600
)

// usedAddresses holds the addresses that running tests have got. Nothing may listen at such an
// address for a while, since its daemon starts later or was killed.
var usedAddresses sync.Map

// rangeListener listens at the first port of this process's range and so reserves the range until
// the process ends. The variable keeps the listener reachable: the garbage collector closes an
// unreachable listener, and another process could then reserve the same range.
var rangeListener net.Listener

// portRange reserves a range of ports for this process and returns its first port.
var portRange = sync.OnceValue(func() int {
	for i := range portRanges {
		base := firstRangePort + (os.Getpid()+i)%portRanges*portsPerRange
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			rangeListener = l
			return base
		}
	}
	panic(fmt.Sprintf("all %d ranges of ports from %d are in use", portRanges, firstRangePort))
})

// A garbage collection closes the listener that reserves the range of ports, and two test processes
// start daemons at the same ports.
func TestPortRangeSurvivesGarbageCollection(t *testing.T) {
	first := fmt.Sprintf("127.0.0.1:%d", portRange())
	for range 3 {
		runtime.GC()
		time.Sleep(10 * time.Millisecond) // finalizers run
	}
	l, err := net.Listen("tcp4", first)
	if err == nil {
		assert.NilError(t, l.Close())
	}
	assert.ErrorContains(t, err, "address already in use")
}

// freeAddress returns an address at which nothing listens and which no other test gets until t ends.
// It dials to find out, and does not listen. A process that is just being started would inherit the
// listening socket for a moment, and the address would still be in use after Close.
func freeAddress(t *testing.T) string {
	base := portRange()
	for {
		a := fmt.Sprintf("127.0.0.1:%d", base+1+int(nextPort.Add(1))%(portsPerRange-1))
		if _, other := usedAddresses.LoadOrStore(a, true); other {
			continue
		}
		if c, err := net.Dial("tcp4", a); err == nil {
			c.Close()
			usedAddresses.Delete(a)
			continue
		}
		t.Cleanup(func() { usedAddresses.Delete(a) })
		return a
	}
}
