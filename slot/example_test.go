package slot_test

import (
	"fmt"
	"net/netip"

	"github.com/lavendercleat/lavendercleat/slot"
)

// Three entries compute their shares of one worker's slots independently. The shares add
// up to the worker's slots.
func ExampleShare() {
	members := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7403"),
		netip.MustParseAddrPort("10.0.0.2:7403"),
		netip.MustParseAddrPort("10.0.0.3:7403"),
	}
	sum := 0
	for _, self := range members {
		sum += slot.Share("10.0.1.1:80", 8, members, self)
	}
	fmt.Println(sum)
	// Output: 8
}
