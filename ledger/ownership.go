// Ownership records of daemons, and the successor of a lost daemon.

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

// Successor returns the member that takes over something of a lost owner, identified by key. It uses
// rendezvous hashing, so members with equal views select the same successor. If their views differ, the
// conditions of the writes decide.
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

// EncodeOwnership returns an ownership record in its stored form.
func EncodeOwnership(p member.Process, name string) []byte {
	return encode(&schema.OwnerRecord{Address: p.Address.String(), Incarnation: p.Incarnation, Name: name})
}

// DecodeOwnership returns the owner from a stored ownership record.
func DecodeOwnership(b []byte) (member.Process, error) {
	var record schema.OwnerRecord
	if err := proto.Unmarshal(b, &record); err != nil {
		return member.Process{}, errors.Wrap(err, "decoding an ownership record")
	}
	address, err := netip.ParseAddrPort(record.GetAddress())
	return member.Process{Address: address, Incarnation: record.GetIncarnation()}, errors.Wrapf(err, "decoding the ownership record of %q", record.GetName())
}

// OwnershipRemoval returns the change that removes an ownership record, if it has not changed since it
// was read.
func OwnershipRemoval(ownership Entry) Change {
	return Change{Require: []Entry{{Key: ownership.Key, Revision: ownership.Revision}}, Remove: []Key{ownership.Key}}
}
