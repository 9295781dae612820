package mesh

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// builder counts how often a heartbeat is built.
type builder struct {
	Handler
	built int
}

func (b *builder) Pulse() *schema.Pulse {
	b.built++
	return &schema.Pulse{Leaving: true, Peers: []string{"x"}, DocumentVersion: 7}
}

// The common part is built once for all links, and each link's own part is added to it
// without encoding it again: the other end reads one message.
func TestPulseIsBuiltOnceForAllLinks(t *testing.T) {
	var c pulseCache
	b := new(builder)
	for link := range int64(30) {
		common, err := c.get(b)
		assert.NilError(t, err)
		var wire bytes.Buffer
		assert.NilError(t, writePulse(&wire, common, 5, 100+link, 90+link))
		f, err := readFrame(bufio.NewReader(&wire))
		assert.NilError(t, err)
		p := f.GetPulse()
		assert.Equal(t, f.GetAcknowledged(), uint64(5))
		assert.Equal(t, p.GetSentMs(), 100+link)
		assert.Equal(t, p.GetEchoMs(), 90+link)
		assert.Equal(t, p.GetDocumentVersion(), uint64(7))
		assert.DeepEqual(t, p.GetPeers(), []string{"x"})
	}
	assert.Assert(t, b.built <= 2, "%d", b.built)
	time.Sleep(pulseFresh)
	_, err := c.get(b)
	assert.NilError(t, err)
	assert.Assert(t, b.built >= 2, "a later heartbeat is built anew")
}
