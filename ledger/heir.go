package ledger

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Successor returns the member that looks after something whose owner is gone (rendezvous
// hashing). Members with equal views agree on it; where they don't, the conditions of
// the writes decide.
func Successor(key string, members []member.Process) (successor member.Process) {
	var best uint64
	for _, m := range members {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], m.Incarnation)
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.WriteString(m.Address.String())
		_, _ = d.Write(b[:])
		if r := d.Sum64(); r >= best {
			best, successor = r, m
		}
	}
	return successor
}

// EncodeOwnership returns a title as it is stored.
func EncodeOwnership(p member.Process, name string) []byte {
	return encode(&schema.OwnerRecord{Address: p.Address.String(), Incarnation: p.Incarnation, Name: name})
}

// DecodeOwnership returns a title's owner.
func DecodeOwnership(b []byte) (member.Process, error) {
	var o schema.OwnerRecord
	if err := proto.Unmarshal(b, &o); err != nil {
		return member.Process{}, errors.Wrap(err, "decoding an owner's title")
	}
	a, err := netip.ParseAddrPort(o.GetAddress())
	return member.Process{Address: a, Incarnation: o.GetIncarnation()}, errors.Wrap(err, "decoding an owner's title")
}

// OwnershipRemoval returns the change that removes an owner's title as it was read.
func OwnershipRemoval(ownership Entry) Change {
	return Change{Require: []Entry{{Key: ownership.Key, Revision: ownership.Revision}}, Remove: []Key{ownership.Key}}
}
