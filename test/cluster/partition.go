// Partitions between entries, and the choice of entries on one side of them.

package cluster

import "net/netip"

// Partition separates the entries of one side from all other entries, in both directions, and from
// the platform's service. Packets and data are lost without an error, and connections stay open.
// Links to backend servers keep working.
func (c *Cluster) Partition(side []*Entry) {
	c.t.Helper()
	for _, e := range side {
		e.Platform.Blackhole()
	}
	c.CutPeers(side)
}

// CutPeers drops all packets between the entries of one side and the other entries, in both directions.
func (c *Cluster) CutPeers(side []*Entry) {
	other := c.EntriesExcept(side)
	for _, e := range side {
		e.Proxy.Block(ips(other)...)
	}
	for _, e := range other {
		e.Proxy.Block(ips(side)...)
	}
}

// HealPartition ends Partition, and all blocks between peers.
func (c *Cluster) HealPartition(side []*Entry) {
	c.t.Helper()
	c.HealPeers()
	for _, e := range side {
		e.Platform.RemoveToxics()
	}
}

// HealPeers ends all blocks between peers.
func (c *Cluster) HealPeers() {
	for _, e := range c.Entries {
		e.Proxy.Unblock()
	}
}

// Domain returns the entries of the failure domain with index d.
func (c *Cluster) Domain(d int) []*Entry {
	var side []*Entry
	for _, e := range c.Entries {
		if e.Domain == domainName(d) {
			side = append(side, e)
		}
	}
	return side
}

// EntriesExcept returns the entries that are not in side.
func (c *Cluster) EntriesExcept(side []*Entry) []*Entry {
	in := make(map[*Entry]bool)
	for _, e := range side {
		in[e] = true
	}
	var other []*Entry
	for _, e := range c.Entries {
		if !in[e] {
			other = append(other, e)
		}
	}
	return other
}

// ips returns the IP addresses of the entries. It adds an address that no entry has: Proxy.Block
// without addresses would block every sender.
func ips(side []*Entry) []netip.Addr {
	list := []netip.Addr{netip.IPv4Unspecified()}
	for _, e := range side {
		list = append(list, e.IP)
	}
	return list
}

// seedFlags returns the flags that give an entry the addresses of the others as seed peers.
func (c *Cluster) seedFlags(e *Entry) []string {
	var flags []string
	for _, other := range c.Entries {
		if other != e {
			flags = append(flags, "--seed-peers="+other.Proxy.Address().String())
		}
	}
	return flags
}

// AddEntry adds entry n of the failure domain with index d, and starts it. The platform's list of
// VMs does not contain the entry until the next PublishVMs.
func (c *Cluster) AddEntry(d, n int) *Entry {
	c.t.Helper()
	c.addEntry(d, n)
	e := c.Entries[len(c.Entries)-1]
	c.StartEntry(e)
	return e
}
