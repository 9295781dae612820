package mesh

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// pulseFresh is how long a heartbeat's content is used for several links: it is built once
// for all of them, as they are due at the same time.
const pulseFresh = 20 * time.Millisecond

// pulseField is the place of a heartbeat in a frame.
var pulseField = (&schema.Frame{}).ProtoReflect().Descriptor().Fields().ByName("pulse").Number()

// pulseCache holds the part of a heartbeat that is the same for all peers, encoded.
type pulseCache struct {
	mu      sync.Mutex
	content []byte
	built   time.Time
}

func (c *pulseCache) get(h Handler) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.built) < pulseFresh {
		return c.content, nil
	}
	b, err := proto.Marshal(h.Pulse())
	if err != nil {
		return nil, errors.Wrap(err, "encoding a heartbeat")
	}
	c.content, c.built = b, time.Now()
	return b, nil
}

// nextPulse is the time to the next heartbeat: those of all links are due at once.
func (m *Mesh) nextPulse() time.Duration {
	return pulseInterval - time.Since(m.started)%pulseInterval
}

// writePulse writes a frame with a heartbeat. Fields that are encoded one after the other
// are one message, so the common part is not encoded again.
func writePulse(w io.Writer, common []byte, acknowledged uint64, sent, echo int64) error {
	head, err := proto.Marshal(&schema.Frame{Acknowledged: acknowledged})
	if err != nil {
		return errors.Wrap(err, "encoding a heartbeat")
	}
	own, err := proto.Marshal(&schema.Pulse{SentMs: sent, EchoMs: echo})
	if err != nil {
		return errors.Wrap(err, "encoding a heartbeat")
	}
	b := protowire.AppendTag(head, pulseField, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(common)+len(own)))
	b = append(append(b, common...), own...)
	if _, err := w.Write(protowire.AppendVarint(nil, uint64(len(b)))); err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}
