// Reads and changes of the platform stand-in's state.

package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/internal/entry"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// PlatformCounts returns the number of calls that the platform stand-in has received, by kind.
func (c *Cluster) PlatformCounts() standinplatform.Counts {
	c.t.Helper()
	resp, err := http.Get(c.PlatformURL + "/admin/counts")
	c.check(err)
	defer resp.Body.Close()
	var n standinplatform.Counts
	c.check(json.NewDecoder(resp.Body).Decode(&n))
	return n
}

// UpdateConfig replaces the configuration document if the revision of its key is prev.
func (c *Cluster) UpdateConfig(prev uint64, doc *schema.Config) {
	c.t.Helper()
	b, err := proto.Marshal(doc)
	c.check(err)
	p := platform.NewClient(c.PlatformURL)
	defer p.Close()
	_, err = p.CompareAndSwap(c.t.Context(), entry.ConfigKey, prev, b)
	c.check(err)
}

// PublishVMsAtVersion sets the platform's list of VMs with the given version. An older version
// simulates a platform that was restored from a backup.
func (c *Cluster) PublishVMsAtVersion(version uint64) {
	c.t.Helper()
	b, err := protojson.Marshal(&schema.VmList{Vms: c.VMs()})
	c.check(err)
	c.Post(fmt.Sprintf("%s/admin/vms?version=%d", c.PlatformURL, version), b)
}

// StoredConfig returns the configuration document in the platform's store and the value of its key.
// The document is nil if the store has none.
func (c *Cluster) StoredConfig() (*schema.Config, platform.Value) {
	c.t.Helper()
	p := platform.NewClient(c.PlatformURL)
	defer p.Close()
	v, err := p.Get(c.t.Context(), entry.ConfigKey)
	if err != nil {
		return nil, v
	}
	doc := new(schema.Config)
	c.check(proto.Unmarshal(v.Value, doc))
	return doc, v
}

// OverwriteStoredConfig overwrites the value of the configuration key and its revision, as a store
// does that is restored from a backup.
func (c *Cluster) OverwriteStoredConfig(v platform.Value) {
	c.t.Helper()
	b, err := json.Marshal(v)
	c.check(err)
	req, err := http.NewRequest(http.MethodPut, c.PlatformURL+"/admin/keys/"+entry.ConfigKey, bytes.NewReader(b))
	c.check(err)
	resp, err := http.DefaultClient.Do(req)
	c.check(err)
	c.check(resp.Body.Close())
}
