package submission

import (
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testOwner = netip.MustParseAddrPort("10.0.0.1:7403")

// forge returns the text of an altered identifier with a valid checksum.
func forge(id ID, alter func([]byte)) string {
	b := append(id.signedBytes(), id.mac[:]...)
	alter(b)
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint32(b, checksum(b)))
}

// Guards against an identifier that changes in its text form, and against accepting an
// identifier of another team or process.
func TestIdentifierRoundTrip(t *testing.T) {
	m := NewMinter(testOwner)
	id := m.Mint("team", 1500*time.Millisecond)
	back, err := Parse(id.String())
	assert.NilError(t, err)
	assert.Equal(t, back, id)
	assert.NilError(t, m.Verify(back, "team"))
	assert.ErrorIs(t, m.Verify(back, "other"), ErrForged)
	assert.ErrorIs(t, NewMinter(testOwner).Verify(back, "team"), ErrForged)
}

// Guards against accepting an identifier with one damaged character or a missing end.
func TestDamagedIdentifierIsMalformed(t *testing.T) {
	text := NewMinter(testOwner).Mint("team", time.Second).String()
	for at := range text {
		for _, c := range "A_z9" {
			damaged := text[:at] + string(c) + text[at+1:]
			if damaged == text {
				continue
			}
			_, err := Parse(damaged)
			assert.ErrorIs(t, err, ErrMalformed, damaged)
		}
		_, err := Parse(text[:at])
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

// Guards against accepting a forged identifier. A forger can compute the checksum but not
// the MAC, whichever byte it changes.
func TestForgedIdentifierIsNotVerified(t *testing.T) {
	m := NewMinter(testOwner)
	id := m.Mint("team", time.Second)
	for at := 1; at < idSize-checksumSize; at++ {
		forged, err := Parse(forge(id, func(b []byte) { b[at] ^= 1 }))
		if err != nil {
			continue // the time of minting is out of range
		}
		assert.ErrorIs(t, m.Verify(forged, "team"), ErrForged, "byte %d", at)
	}
}

// FuzzParse parses arbitrary texts. Parse must not panic and must accept only one text per
// identifier, and Verify must reject every identifier that was not minted.
func FuzzParse(f *testing.F) {
	m := NewMinter(testOwner)
	id := m.Mint("team", time.Second)
	f.Add("")
	f.Add("quote-17")
	f.Add(id.String())
	f.Add(id.String()[1:])
	f.Add(id.String() + "=")
	f.Add(id.String()[:20] + "\n" + id.String()[20:])
	f.Add(forge(id, func(b []byte) { b[0]++ }))
	f.Add(forge(id, func(b []byte) { clear(b[1:17]) }))
	f.Add(forge(id, func(b []byte) { b[27] = 0xff }))
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse(text)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		assert.Equal(t, got.String(), text)
		assert.Assert(t, got.MintedAt >= 0 && got.MintedAt <= maxMintedAt)
		if got != id {
			assert.ErrorIs(t, m.Verify(got, "team"), ErrForged)
		}
	})
}
