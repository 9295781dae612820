package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Index answers the lookups of one revision of the document. It does not change
// after it is made, so it is safe for concurrent use.
type Index struct {
	doc   *schema.Config
	teamsByHash map[string]string
}

// NewIndex returns the index of a document, which must not be changed afterwards.
func NewIndex(c *schema.Config) *Index {
	x := &Index{doc: c, teamsByHash: make(map[string]string, len(c.GetTeams()))}
	for name, t := range c.GetTeams() {
		x.teamsByHash[t.GetTokenSha256()] = name
	}
	return x
}

// Document returns the document.
func (x *Index) Document() *schema.Config { return x.doc }

// Revision returns the document's revision, 0 when there is none yet.
func (x *Index) Revision() uint64 { return x.doc.GetRevision() }

// TeamOf returns the team that holds a token. The lookup is by the token's hash, so
// its time tells nothing about the tokens of other teams.
func (x *Index) TeamOf(token string) (name string, ok bool) {
	name, ok = x.teamsByHash[HashToken(token)]
	return name, ok
}

// HashToken returns a token's hash as the document keeps it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Kind returns a kind by name, nil when there is none.
func (x *Index) Kind(name string) *schema.Kind { return x.doc.GetKinds()[name] }

// Held tells whether new jobs of a kind are refused for now.
func (x *Index) Held(kind string) bool { return slices.Contains(x.doc.GetHeldKinds(), kind) }

// Drained tells whether a worker gets no new work.
func (x *Index) Drained(vm *schema.Vm) bool {
	return slices.Contains(x.doc.GetDrainedWorkers(), vm.GetAddress()) ||
		slices.Contains(x.doc.GetDrainedRacks(), RackName(vm)) ||
		x.Retired(vm.GetDomain())
}

// RackName names a VM's rack across failure domains.
func RackName(vm *schema.Vm) string { return vm.GetDomain() + "/" + vm.GetRack() }

// Retired tells whether a failure domain is retired.
func (x *Index) Retired(domain string) bool {
	return slices.Contains(x.doc.GetRetiredDomains(), domain)
}
