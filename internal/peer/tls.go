package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// protocol is the ALPN name of the peer protocol and its version.
const alpnProtocol = "lavendercleat-peer/1"

// serverName is the name in every entry's certificate: entries are known by the
// authority that signed them, not by their changing IP numbers.
const serverName = "lavendercleat-entry"

// Credentials prove an entry to its peers.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadCredentials reads PEM files.
func LoadCredentials(caFile, certFile, keyFile string) (Credentials, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "--ca-file; accepted is a readable PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return Credentials{}, errors.Newf("--ca-file; accepted is a PEM file, and %s holds no certificate", caFile)
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "--cert-file, --key-file; accepted are readable PEM files of one key pair")
	}
	c := Credentials{Certificate: cert, Authority: pool}
	if err := c.verify(); err != nil {
		return Credentials{}, errors.Wrap(err, "--cert-file; accepted is a certificate that the authority of --ca-file signed for "+serverName)
	}
	return c, nil
}

// check returns an error unless peers accept the certificate in both roles. Without
// it an entry with the wrong file starts, and no peer ever hears of it.
func (c Credentials) verify() error {
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := c.Certificate.Leaf.Verify(x509.VerifyOptions{
			DNSName:   serverName,
			Roots:     c.Authority,
			KeyUsages: []x509.ExtKeyUsage{use},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// config returns the TLS settings, alike for both ends.
func (c Credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		ServerName:   serverName,
		Certificates: []tls.Certificate{c.Certificate},
		RootCAs:      c.Authority,
		ClientCAs:    c.Authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The authority may sign for others than entries. A server checks the chain of a
		// client's certificate but not its name, so an operator's certificate would make
		// a peer, whose word on a caller's team is taken.
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(serverName)
		},
	}
}

// PEM holds a generated authority and certificate.
type PEM struct {
	CA   []byte
	Cert []byte
	Key  []byte
}

// certificateLifetime of generated certificates, which serve dev and tests.
const certificateLifetime = 10 * 365 * 24 * time.Hour

// Generate makes an authority and a certificate signed by it, for dev and tests.
func Generate() (PEM, error) {
	ca, caKey, err := newAuthority(time.Now())
	if err != nil {
		return PEM{}, err
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    ca.NotBefore,
		NotAfter:     ca.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return PEM{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return PEM{}, err
	}
	return PEM{
		CA:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.Raw}),
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// newAuthority makes an authority.
func newAuthority(now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	ca := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "lavendercleat dev authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	ca, err = x509.ParseCertificate(der)
	return ca, key, err
}

// Credentials returns the generated credentials.
func (p PEM) Credentials() (Credentials, error) {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return Credentials{}, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(p.CA)
	return Credentials{Certificate: cert, Authority: pool}, nil
}
