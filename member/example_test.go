package member_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// An entry handles a peer's heartbeat, and removes the peer when its time-out has passed. The VM list alone
// makes an address known, not alive.
func Example() {
	self, peer := netip.MustParseAddrPort("10.0.0.1:7403"), netip.MustParseAddrPort("10.0.0.2:7403")
	v := member.NewView(member.Config{Self: self, Incarnation: 1, Domain: "krk-a", Timeout: 2 * time.Second})
	v.SetCandidates(map[netip.AddrPort]string{peer: "krk-a"})
	fmt.Println(v.Known(peer), v.Members())

	changed := v.HandleHeartbeat(time.Second, member.Peer{Address: peer, Incarnation: 7, Domain: "krk-a"})
	fmt.Println(changed, v.Members())

	changed = v.Tick(4 * time.Second)
	fmt.Println(changed, v.Members())
	// Output:
	// true [10.0.0.1:7403]
	// true [10.0.0.1:7403 10.0.0.2:7403]
	// true [10.0.0.1:7403]
}
