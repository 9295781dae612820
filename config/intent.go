package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Action names what an intent does.
type Action string

// Actions of intents.
const (
	// Init writes the first document.
	Init Action = "init"
	// Restore writes the document in force back to a platform that came back older.
	Restore Action = "restore"
	// DrainWorker and UndrainWorker stop and resume new work on one worker.
	DrainWorker   Action = "drain-worker"
	UndrainWorker Action = "undrain-worker"
	// DrainRack and UndrainRack do it for all workers of a rack.
	DrainRack   Action = "drain-rack"
	UndrainRack Action = "undrain-rack"
	// RetireDomain stops new work on a failure domain's workers and at its entries;
	// ReinstateDomain takes it back.
	RetireDomain    Action = "retire-domain"
	ReinstateDomain Action = "reinstate-domain"
	// SetLimits changes the limits of every request.
	SetLimits Action = "set-limits"
	// SetKind makes or changes a kind, RemoveKind removes it.
	SetKind    Action = "set-kind"
	RemoveKind Action = "remove-kind"
	// HoldKind refuses new jobs of a kind; ResumeKind takes it back.
	HoldKind   Action = "hold-kind"
	ResumeKind Action = "resume-kind"
	// SetTeam makes or changes a team, RemoveTeam removes it.
	SetTeam    Action = "set-team"
	RemoveTeam Action = "remove-team"
)

// maxDescription bounds an intent's description in the document's history.
const maxDescriptionBytes = 200

// Describe returns an intent in one line, for the history. Token hashes are left out.
func Describe(i schema.Intent) string {
	words := []string{i.Action}
	if i.Target != "" {
		words = append(words, i.Target)
	}
	for _, s := range i.Settings {
		if strings.HasPrefix(s, "token_sha256=") {
			s = "token_sha256=..."
		}
		words = append(words, s)
	}
	if i.Force {
		words = append(words, "(forced)")
	}
	line := strings.Join(words, " ")
	if len(line) > maxDescriptionBytes {
		line = line[:maxDescriptionBytes] + "..."
	}
	return strings.ToValidUTF8(line, "?")
}

// Apply returns the document that the intent makes of base, without the revision and
// the record of the plan. It doesn't change base.
func Apply(base *schema.Config, i schema.Intent) (*schema.Config, error) {
	doc := proto.CloneOf(base)
	if doc.Limits == nil {
		doc.Limits = &schema.Limits{}
	}
	if err := apply(doc, i); err != nil {
		return nil, err
	}
	return doc, nil
}

func apply(doc *schema.Config, i schema.Intent) error {
	switch Action(i.Action) {
	case Init:
		return initialize(doc, i.Document)
	case Restore:
		return nil
	case DrainWorker:
		return addTarget(&doc.DrainedWorkers, "worker", i.Target)
	case UndrainWorker:
		return removeTarget(&doc.DrainedWorkers, "drained worker", i.Target)
	case DrainRack:
		if !strings.Contains(i.Target, "/") {
			return errors.Newf("rack %q is not of the form domain/rack", i.Target)
		}
		return addTarget(&doc.DrainedRacks, "rack", i.Target)
	case UndrainRack:
		return removeTarget(&doc.DrainedRacks, "drained rack", i.Target)
	case RetireDomain:
		return addTarget(&doc.RetiredDomains, "failure domain", i.Target)
	case ReinstateDomain:
		return removeTarget(&doc.RetiredDomains, "retired failure domain", i.Target)
	case SetLimits:
		return setFields(doc.Limits, i.Settings)
	case SetKind:
		return setNamed(&doc.Kinds, i.Target, &schema.Kind{}, i.Settings)
	case RemoveKind:
		return removeNamed(doc.Kinds, "kind", i.Target)
	case HoldKind:
		return addTarget(&doc.HeldKinds, "kind", i.Target)
	case ResumeKind:
		return removeTarget(&doc.HeldKinds, "held kind", i.Target)
	case SetTeam:
		return setNamed(&doc.Teams, i.Target, &schema.Team{}, i.Settings)
	case RemoveTeam:
		return removeNamed(doc.Teams, "team", i.Target)
	}
	return errors.Newf("there is no intent %q", i.Action)
}

// initialize replaces an empty document. The file's own revision is kept, so that a
// document brought back from an export goes above what entries may still have.
func initialize(doc *schema.Config, text string) error {
	if doc.GetRevision() > 0 {
		return errors.Newf("there is a document already, at revision %d; change it by intents", doc.GetRevision())
	}
	var first schema.Config
	if err := protojson.Unmarshal([]byte(text), &first); err != nil {
		return errors.Wrap(err, "the document can't be read")
	}
	first.RecentPlans = nil
	proto.Reset(doc)
	proto.Merge(doc, &first)
	return nil
}

func addTarget(list *[]string, what, target string) error {
	if target == "" {
		return errors.Newf("name the %s", what)
	}
	if slices.Contains(*list, target) {
		return errors.Newf("%s %q is in that state already", what, target)
	}
	*list = append(*list, target)
	slices.Sort(*list)
	return nil
}

func removeTarget(list *[]string, what, target string) error {
	at := slices.Index(*list, target)
	if at < 0 {
		return errors.Newf("there is no %s %q; there is: %s", what, target, listOrNone(*list))
	}
	*list = slices.Delete(*list, at, at+1)
	return nil
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// setIn sets fields of a named message, which is made if it isn't there.
func setNamed[M proto.Message](m *map[string]M, name string, empty M, settings []string) error {
	if name == "" {
		return errors.New("name what to set")
	}
	if *m == nil {
		*m = make(map[string]M)
	}
	target, ok := (*m)[name]
	if !ok {
		target = empty
		(*m)[name] = target
	}
	return setFields(target, settings)
}

func removeNamed[M any](m map[string]M, what, name string) error {
	if _, ok := m[name]; !ok {
		return fmt.Errorf("there is no %s %q", what, name)
	}
	delete(m, name)
	return nil
}
