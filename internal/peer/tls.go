// The credentials of entries: TLS settings, PEM files, and generated certificates for dev and tests.

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

// alpnProtocol is the ALPN name of the peer protocol, with its version.
const alpnProtocol = "lavendercleat-peer/1"

// serverName is the name in the certificate of every entry. An entry is identified by the authority that signed
// its certificate, because its IP number may change.
const serverName = "lavendercleat-entry"

// Credentials authenticate an entry to its peers.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadCredentials reads credentials from PEM files. An error names the flag and what is accepted.
func LoadCredentials(caFile, certFile, keyFile string) (Credentials, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "--ca-file must be a readable PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return Credentials{}, errors.Newf("--ca-file must be a PEM file; %s contains no certificate", caFile)
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "--cert-file and --key-file must be readable PEM files of one key pair")
	}
	c := Credentials{Certificate: cert, Authority: pool}
	if err := c.verify(); err != nil {
		return Credentials{}, errors.Wrap(err, "--cert-file must be a certificate that the authority of --ca-file signed for "+serverName)
	}
	return c, nil
}

// verify returns an error unless peers accept the certificate for both servers and clients. Without this check,
// an entry with the wrong file would start, and no peer could connect to it.
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

// tlsConfig returns the TLS settings, which are the same for both ends of a connection.
func (c Credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		ServerName:   serverName,
		Certificates: []tls.Certificate{c.Certificate},
		RootCAs:      c.Authority,
		ClientCAs:    c.Authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The authority may also sign certificates of clients that are not entries. A server checks the
		// chain of a client's certificate but not its name. Without this check, an operator's certificate
		// would authenticate as a peer, and the server accepts a peer's statement about a caller's team.
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(serverName)
		},
	}
}

// PEM holds a generated authority, and a certificate with its key.
type PEM struct {
	CA   []byte
	Cert []byte
	Key  []byte
}

// certificateLifetime is how long generated certificates are valid. Only dev and tests use them.
const certificateLifetime = 10 * 365 * 24 * time.Hour

// Generate creates an authority and an entry's certificate signed by it, for dev and tests.
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

// newAuthority creates an authority that signs its own certificate.
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
