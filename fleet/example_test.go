package fleet_test

import (
	"fmt"
	"net/netip"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/member"
)

// Two daemons of a failure domain divide its workers without exchanging a message.
func ExampleAssign() {
	a := fleet.Member{Process: member.Process{Address: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1}, Domain: "x"}
	b := fleet.Member{Process: member.Process{Address: netip.MustParseAddrPort("10.0.0.2:80"), Incarnation: 2}, Domain: "x"}
	workers := []executor.WorkerInfo{{ID: "w1", Domain: "x"}, {ID: "w2", Domain: "x"}, {ID: "w3", Domain: "x"}, {ID: "w4", Domain: "x"}}
	held := make(map[member.Process]int)
	for _, holder := range fleet.Assign(workers, []fleet.Member{a, b}) {
		held[holder]++
	}
	fmt.Println(held[a.Process], held[b.Process])
	// Output: 2 2
}
