// The encoding of requests and replies on a stream.

package peer

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the largest size of a message. A handover of answers is split into parts below it.
const MaxMessageBytes = 32 << 20

var errTooLarge = errors.New("message too large")

// writeMessage writes a message. The end of the stream marks the end of the message.
func writeMessage(w io.Writer, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	if len(b) > MaxMessageBytes {
		return errors.Wrapf(errTooLarge, "writing %d bytes; the limit is %d", len(b), MaxMessageBytes)
	}
	_, err = w.Write(b)
	return err
}

// readMessage reads a message up to the end of the stream.
func readMessage(r io.Reader, m proto.Message) error {
	b, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(b) > MaxMessageBytes {
		return errors.Wrapf(errTooLarge, "reading more than %d bytes", MaxMessageBytes)
	}
	return proto.Unmarshal(b, m)
}
