// Package cluster is the harness of the integration tests. It builds the program and runs it as
// real processes: entries, and stand-ins for the backend servers and the platform's service.
//
// Every TCP link to a backend server or to the platform runs through a proxy (toxiproxy or a
// TCPProxy), and every link between peers through a UDPProxy. Tests can therefore break a link or
// drop its data. They can also kill, freeze and restart a process; it keeps its address.
package cluster
