// Tests of forged identifiers.

package path

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// Offsets in the bytes of an identifier. Its fields are version, address, port, incarnation, time, nonce,
// MAC and checksum.
const (
	addressAt     = 1
	portAt        = 17
	incarnationAt = 19
	nonceAt       = 35
	macAt         = 51
	checksumAt    = 67
)

// forge alters an identifier and corrects its checksum.
func forge(t *testing.T, id string, alter func(b []byte)) string {
	t.Helper()
	b, err := base64.RawURLEncoding.DecodeString(id)
	assert.NilError(t, err)
	assert.Equal(t, len(b), checksumAt+4)
	alter(b)
	sum := crc32.Checksum(b[:checksumAt], crc32.MakeTable(crc32.Castagnoli))
	binary.BigEndian.PutUint32(b[checksumAt:], sum)
	return base64.RawURLEncoding.EncodeToString(b)
}

// listenBoth listens for UDP and TCP on one free port of 127.0.0.1.
func listenBoth(t *testing.T) (*net.UDPConn, net.Listener, int) {
	t.Helper()
	for range 100 {
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		port := udp.LocalAddr().(*net.UDPAddr).Port
		tcp, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return udp, tcp, port
		}
		udp.Close()
	}
	t.Fatal("found no port that is free for both UDP and TCP in 100 attempts")
	return nil, nil, 0
}

// Guards against an entry that connects to an address chosen by a caller. A caller writes the address into
// an identifier. The entry may connect only to addresses of known entries: the listeners at the address must
// receive no packet and no connection, and the replies must have a Retry-After header.
func TestEntryNeverConnectsToCallersAddress(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	e := c.Entries[0]
	udp, tcp, port := listenBoth(t)
	defer udp.Close()
	defer tcp.Close()
	var contacts atomic.Int64
	go func() {
		buf := make([]byte, 2048)
		for {
			if _, _, err := udp.ReadFrom(buf); err != nil {
				return
			}
			contacts.Add(1)
		}
	}()
	go func() {
		for {
			conn, err := tcp.Accept()
			if err != nil {
				return
			}
			contacts.Add(1)
			conn.Close()
		}
	}()

	id := forge(t, reserve(t, e, cluster.Token), func(b []byte) { binary.BigEndian.PutUint16(b[portAt:], uint16(port)) })
	for _, method := range []string{"PUT", "GET", "DELETE"} {
		a := send(t, e, rawRequest{method, "/v1/submissions/" + id, cluster.Token, jobJSON(t, cluster.Job(cluster.Booking, "x", 1))})
		assert.Equal(t, a.status, http.StatusServiceUnavailable, a.text)
		assert.Equal(t, a.Reason, "owner_unreachable", a.text)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Assert(t, !strings.Contains(a.text, fmt.Sprint(port)), a.text)
	}
	time.Sleep(500 * time.Millisecond) // A packet on the loopback interface needs far less.
	assert.Equal(t, contacts.Load(), int64(0))
	assert.Equal(t, c.RunRecord().Starts, int64(0))
}

// Guards against access with guessed identifiers. A caller that has one identifier alters its incarnation,
// nonce or MAC and corrects the checksum. With it the caller must read no answer, cancel nothing and start
// nothing, at the owner and through another entry.
func TestForgedIdentifiersAreRefused(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Domains: 1, Entries: 2, Workers: 1})
	job := cluster.Job(cluster.Booking, "secret", 1)
	id := reserve(t, c.Entries[0], cluster.Token)
	r, err := c.Entries[0].Client(cluster.Token).Put(t.Context(), id, job)
	assert.NilError(t, err)
	cluster.CheckComplete(t, job, r)
	const guesses = 60
	for n := range guesses {
		at := []int{incarnationAt, nonceAt, macAt}[n%3] + rand.IntN(8)
		forged := forge(t, id, func(b []byte) { b[at] ^= byte(1 + rand.IntN(255)) })
		e := c.Entries[n/3%2]
		for _, method := range []string{"GET", "DELETE", "PUT"} {
			a := send(t, e, rawRequest{method, "/v1/submissions/" + forged, cluster.Token, jobJSON(t, job)})
			assert.Assert(t, a.status >= 400 && a.Outcome != client.Complete, a.text)
			assert.Equal(t, len(a.Results), 0, a.text)
			if at >= nonceAt {
				checkRefused(t, a, http.StatusNotFound, "identifier_unknown")
			}
		}
	}
	assert.Equal(t, c.RunRecord().Starts, int64(1))
}
