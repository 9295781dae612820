// Compression of lists of registry entries.

package node

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// maxUnpacked bounds the size of a list of entries in bytes: 10,000 workers take 3 MB.
const maxUnpacked = 16 << 20

// packEntries compresses a list of entries. The entries are similar, and shrink to about a ninth.
func packEntries(list []*schema.EntryRecord) ([]byte, error) {
	plain, err := proto.Marshal(&schema.EntryList{Entries: list})
	if err != nil {
		return nil, errors.Wrap(err, "encoding entries")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing entries")
	}
	_, err = w.Write(plain)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return nil, errors.Wrap(err, "compressing entries")
	}
	return out.Bytes(), nil
}

// unpackEntries reverses packEntries.
func unpackEntries(packed []byte) ([]*schema.EntryRecord, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err = errors.CombineErrors(err, r.Close()); err != nil {
		return nil, errors.Wrap(err, "decompressing entries")
	}
	if len(plain) > maxUnpacked {
		return nil, errors.Newf("decompressed entries exceed %d bytes", maxUnpacked)
	}
	var list schema.EntryList
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, errors.Wrap(err, "decoding entries")
	}
	return list.GetEntries(), nil
}
