package submission

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of the parts of an identifier, in bytes, and its format version.
const (
	addressSize  = 16
	nonceSize    = 16
	macSize      = 16
	checksumSize = 4
	idSize       = 1 + addressSize + 2 + 8 + 8 + nonceSize + macSize + checksumSize
	idVersion    = 1
	// logPrefixSize is the number of nonce bytes that may appear in logs.
	logPrefixSize = 4
)

// Errors returned for invalid identifiers.
var (
	// ErrMalformed: the text is not an identifier.
	ErrMalformed = errors.New("malformed identifier")
	// ErrForged: the identifier was altered or was minted for another team.
	ErrForged = errors.New("identifier was not issued to this team")
)

// ID identifies a submission and names its owner. A client that has the ID and the team's
// token may read the answer.
type ID struct {
	// Owner is the address of the owner's peer interface.
	Owner netip.AddrPort
	// Incarnation distinguishes processes at the same address.
	Incarnation uint64
	// MintedAt is the time of minting on the owner's clock, a whole number of
	// milliseconds.
	MintedAt time.Duration
	nonce    [nonceSize]byte
	mac      [macSize]byte
}

// String returns the text form of the identifier.
func (id ID) String() string {
	b := id.signedBytes()
	b = append(b, id.mac[:]...)
	b = binary.BigEndian.AppendUint32(b, checksum(b))
	return base64.RawURLEncoding.EncodeToString(b)
}

// Short returns a prefix of the nonce, which identifies the submission in logs without
// disclosing the identifier.
func (id ID) Short() string {
	return base64.RawURLEncoding.EncodeToString(id.nonce[:logPrefixSize])
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum lets every entry detect a damaged identifier. Only the owner can check the MAC,
// and a damaged address leads to no owner, so without a checksum the caller would be told
// forever to ask again. The checksum does not protect against forgery.
func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// signedBytes returns the bytes that the MAC covers.
func (id ID) signedBytes() []byte {
	b := make([]byte, 0, idSize)
	b = append(b, idVersion)
	addr := id.Owner.Addr().As16()
	b = append(b, addr[:]...)
	b = binary.BigEndian.AppendUint16(b, id.Owner.Port())
	b = binary.BigEndian.AppendUint64(b, id.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(id.MintedAt/time.Millisecond))
	return append(b, id.nonce[:]...)
}

// Parse parses the text form of an identifier. The result is not verified, because only
// the owner can verify it.
func Parse(text string) (ID, error) {
	// The decoder skips line breaks, so check the length first. Otherwise an identifier
	// would have several text forms, and a lookup under another form would miss the
	// record and report that the submission was never made.
	if len(text) != base64.RawURLEncoding.EncodedLen(idSize) {
		return ID{}, ErrMalformed
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != idSize || b[0] != idVersion {
		return ID{}, ErrMalformed
	}
	if sum := idSize - checksumSize; checksum(b[:sum]) != binary.BigEndian.Uint32(b[sum:]) {
		return ID{}, ErrMalformed
	}
	b = b[1:]
	addr := netip.AddrFrom16([addressSize]byte(b[:addressSize])).Unmap()
	b = b[addressSize:]
	id := ID{
		Owner:       netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b)),
		Incarnation: binary.BigEndian.Uint64(b[2:]),
	}
	b = b[10:]
	ms := binary.BigEndian.Uint64(b)
	if ms > uint64(maxMintedAt/time.Millisecond) {
		return ID{}, ErrMalformed
	}
	id.MintedAt = time.Duration(ms) * time.Millisecond
	b = b[8:]
	copy(id.nonce[:], b)
	copy(id.mac[:], b[nonceSize:nonceSize+macSize])
	return id, nil
}

// maxMintedAt bounds the time of minting, so that adding to it cannot overflow.
const maxMintedAt = 100 * 365 * 24 * time.Hour

// Minter mints and verifies the identifiers of one process. Its key never leaves the
// process, so only this process can distinguish its identifiers from forged ones.
type Minter struct {
	owner       netip.AddrPort
	incarnation uint64
	key         [sha256.Size]byte
}

// NewMinter returns a minter for the process at owner, with a new incarnation and key.
func NewMinter(owner netip.AddrPort) *Minter {
	m := &Minter{owner: owner}
	var b [8]byte
	rand.Read(b[:])
	m.incarnation = binary.BigEndian.Uint64(b[:])
	rand.Read(m.key[:])
	return m
}

// Incarnation returns the incarnation of the process.
func (m *Minter) Incarnation() uint64 { return m.incarnation }

// Owner returns the address of the process.
func (m *Minter) Owner() netip.AddrPort { return m.owner }

// Mint returns a new identifier for the team. An identifier takes no memory in the
// process until it is used.
func (m *Minter) Mint(team string, now time.Duration) ID {
	id := ID{Owner: m.owner, Incarnation: m.incarnation, MintedAt: now.Truncate(time.Millisecond)}
	rand.Read(id.nonce[:])
	id.mac = m.mac(id, team)
	return id
}

// Verify returns ErrForged unless this process minted the identifier for the team. The
// comparison takes constant time, so that an attacker cannot guess the MAC byte by byte.
func (m *Minter) Verify(id ID, team string) error {
	want := m.mac(id, team)
	if subtle.ConstantTimeCompare(want[:], id.mac[:]) != 1 {
		return ErrForged
	}
	return nil
}

// mac returns the MAC of an identifier. It covers the team, so an identifier of another
// team fails verification like a forged one.
func (m *Minter) mac(id ID, team string) [macSize]byte {
	h := hmac.New(sha256.New, m.key[:])
	h.Write(id.signedBytes())
	h.Write([]byte(team))
	return [macSize]byte(h.Sum(nil))
}
