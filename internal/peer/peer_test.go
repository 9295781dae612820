package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// countingHandler answers and counts every request.
type countingHandler struct{ served atomic.Int64 }

// ServePeer implements Handler.
func (h *countingHandler) ServePeer(context.Context, *schema.Request) *schema.Reply {
	h.served.Add(1)
	return &schema.Reply{Status: &schema.StatusReply{Ready: true}}
}

func newCredentials(t *testing.T) Credentials {
	t.Helper()
	p, err := Generate()
	assert.NilError(t, err)
	c, err := p.Credentials()
	assert.NilError(t, err)
	return c
}

func newServer(t *testing.T, cred Credentials) (*countingHandler, netip.AddrPort) {
	t.Helper()
	h := &countingHandler{}
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), cred, h)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, s.Close()) })
	return h, s.Address()
}

func callStatus(t *testing.T, cred Credentials, to netip.AddrPort) (*schema.Reply, error) {
	t.Helper()
	c := NewClient(cred, netip.MustParseAddr("127.0.0.1"))
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, failure := c.Call(ctx, to, &schema.Request{Body: &schema.Request_Status{Status: &schema.StatusRequest{}}})
	if failure != nil {
		return nil, failure
	}
	return reply, nil
}

// newCredentialsFor returns credentials of an entry, and credentials of the same authority for another name,
// such as an operator's or the balancer's.
func newCredentialsFor(t *testing.T, name string) (entry, other Credentials) {
	t.Helper()
	ca, caKey, err := newAuthority(time.Now())
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	make := func(name string) Credentials {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		assert.NilError(t, err)
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(3), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
			NotBefore: ca.NotBefore, NotAfter: ca.NotAfter,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
		assert.NilError(t, err)
		return Credentials{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Authority: pool}
	}
	return make(serverName), make(name)
}

// An entry must answer entries with a certificate of the same authority.
func TestPeerOfSameAuthorityIsServed(t *testing.T) {
	cred := newCredentials(t)
	h, at := newServer(t, cred)
	reply, err := callStatus(t, cred, at)
	assert.NilError(t, err)
	assert.Assert(t, reply.GetStatus().GetReady())
	assert.Equal(t, h.served.Load(), int64(1))
}

// A process with another authority's certificate calls an entry and trusts any certificate that the entry
// shows. It must get no reply, and its request must not reach the handler.
func TestPeerOfOtherAuthorityIsRejected(t *testing.T) {
	h, at := newServer(t, newCredentials(t))
	other := newCredentials(t)
	conf := other.tlsConfig()
	conf.InsecureSkipVerify = true
	assertRejected(t, at, conf)
	assert.Equal(t, h.served.Load(), int64(0))
}

// A process without a certificate must not be served either.
func TestPeerWithoutCertificateIsRejected(t *testing.T) {
	h, at := newServer(t, newCredentials(t))
	assertRejected(t, at, &tls.Config{NextProtos: []string{alpnProtocol}, InsecureSkipVerify: true})
	assert.Equal(t, h.served.Load(), int64(0))
}

// The same authority signed a certificate for something that is not an entry, such as an operator. It must
// not be accepted from a peer, because entries trust what peers say about teams.
func TestCertificateForOtherNameIsRejected(t *testing.T) {
	entry, other := newCredentialsFor(t, "operator")
	h, at := newServer(t, entry)
	assertRejected(t, at, other.tlsConfig())
	assert.Equal(t, h.served.Load(), int64(0))
}

// A process of another authority listens at an address that an entry calls. The entry must not send it the
// request, which would disclose callers' jobs and teams.
func TestRequestIsNotSentToOtherAuthority(t *testing.T) {
	h, at := newServer(t, newCredentials(t))
	_, err := callStatus(t, newCredentials(t), at)
	assert.Assert(t, err != nil)
	assert.Equal(t, h.served.Load(), int64(0))
}

// TLS versions before 1.3 must not be offered.
func TestTLS13IsRequired(t *testing.T) {
	assert.Equal(t, newCredentials(t).tlsConfig().MinVersion, uint16(tls.VersionTLS13))
}

// assertRejected sends a request over QUIC and checks that no byte comes back.
func assertRejected(t *testing.T, at netip.AddrPort, conf *tls.Config) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, at.String(), conf, quicConfig())
	if err != nil {
		return // refused in the handshake
	}
	// In TLS 1.3 the client may count the handshake as complete before the server has verified the client's
	// certificate. The rejection then arrives with the first read.
	defer conn.CloseWithError(0, "")
	st, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	_ = st.SetDeadline(time.Now().Add(5 * time.Second))
	_ = writeMessage(st, &schema.Request{Body: &schema.Request_Status{Status: &schema.StatusRequest{}}})
	_ = st.Close()
	b, err := io.ReadAll(st)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(b), 0)
}
