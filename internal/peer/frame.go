package peer

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message; a handover of answers is sent in parts below it.
const MaxMessageBytes = 32 << 20

var errTooLarge = errors.New("message too large")

// writeMessage writes a message; the end of the stream marks its end.
func writeMessage(w io.Writer, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	if len(b) > MaxMessageBytes {
		return errTooLarge
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
		return errTooLarge
	}
	return proto.Unmarshal(b, m)
}
