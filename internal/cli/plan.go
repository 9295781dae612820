package cli

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// maxShownPlan is the longest plan that is printed as an argument of confirm.
const maxPlanArgumentBytes = 4096

// planCommand asks what an intent would change; nothing changes.
type planCommand struct {
	operatorFlags
	Force bool `help:"Go on although a kind or the whole fleet is left with nowhere to run."`

	Drain     drainCommands         `cmd:"" help:"Stop new work on a worker or a rack."`
	Undrain   undrainCommands       `cmd:"" help:"Resume work on a drained worker or rack."`
	Retire    retireDomainIntent    `cmd:"" help:"Stop new work in a failure domain."`
	Reinstate reinstateDomainIntent `cmd:"" help:"Take back a retired failure domain."`
	Hold      holdKindIntent        `cmd:"" help:"Refuse new jobs of a kind."`
	Resume    resumeKindIntent      `cmd:"" help:"Accept new jobs of a held kind again."`
	Limits    setLimitsIntent       `cmd:"" help:"Change limits of every request."`
	Kind      kindCommands          `cmd:"" help:"Change or remove a kind."`
	Team      teamCommands          `cmd:"" help:"Change or remove a team."`
	Init      initIntent            `cmd:"" help:"Write the first document from a file."`
	Restore   restoreIntent         `cmd:"" help:"Write the document in force back to a platform that came back older."`
}

type drainCommands struct {
	Worker drainWorkerIntent `cmd:"" help:"Stop new work on one worker."`
	Rack   drainRackIntent   `cmd:"" help:"Stop new work on all workers of a rack."`
}

type undrainCommands struct {
	Worker undrainWorkerIntent `cmd:"" help:"Resume work on one worker."`
	Rack   undrainRackIntent   `cmd:"" help:"Resume work on a rack."`
}

type kindCommands struct {
	Set    setKindIntent    `cmd:"" help:"Make a kind or change its rules."`
	Remove removeKindIntent `cmd:"" help:"Remove a kind."`
}

type teamCommands struct {
	Set    setTeamIntent    `cmd:"" help:"Make a team or change its quota, weight or token."`
	Remove removeTeamIntent `cmd:"" help:"Remove a team."`
}

type workerArg struct {
	Address string `arg:"" help:"The worker's address (IP:port) as in the VM list."`
}

type rackArg struct {
	Rack string `arg:"" help:"The rack as domain/rack."`
}

type domainArg struct {
	Domain string `arg:"" help:"The failure domain."`
}

type nameArg struct {
	Name string `arg:"" help:"The name."`
}

type settingsArg struct {
	Settings []string `arg:"" help:"Fields to set as field=value; a wrong field gets the list of fields."`
}

type (
	drainWorkerIntent     struct{ workerArg }
	undrainWorkerIntent   struct{ workerArg }
	drainRackIntent       struct{ rackArg }
	undrainRackIntent     struct{ rackArg }
	retireDomainIntent    struct{ domainArg }
	reinstateDomainIntent struct{ domainArg }
	setLimitsIntent       struct{ settingsArg }
	setKindIntent         struct {
		nameArg
		settingsArg
	}
	removeKindIntent struct{ nameArg }
	holdKindIntent   struct{ nameArg }
	resumeKindIntent struct{ nameArg }
	setTeamIntent    struct {
		nameArg
		settingsArg
	}
	removeTeamIntent struct{ nameArg }
	restoreIntent    struct{}
	initIntent       struct {
		File string `arg:"" type:"existingfile" help:"File with the document in JSON, as export prints it."`
	}
)

// Run plans draining a worker.
func (i *drainWorkerIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.DrainWorker), Target: i.Address})
}

// Run plans undraining a worker.
func (i *undrainWorkerIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.UndrainWorker), Target: i.Address})
}

// Run plans draining a rack.
func (i *drainRackIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.DrainRack), Target: i.Rack})
}

// Run plans undraining a rack.
func (i *undrainRackIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.UndrainRack), Target: i.Rack})
}

// Run plans retiring a failure domain.
func (i *retireDomainIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.RetireDomain), Target: i.Domain})
}

// Run plans reinstating a failure domain.
func (i *reinstateDomainIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.ReinstateDomain), Target: i.Domain})
}

// Run plans a change of limits.
func (i *setLimitsIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.SetLimits), Settings: i.Settings})
}

// Run plans a change of a kind.
func (i *setKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.SetKind), Target: i.Name, Settings: i.Settings})
}

// Run plans removing a kind.
func (i *removeKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.RemoveKind), Target: i.Name})
}

// Run plans holding a kind.
func (i *holdKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.HoldKind), Target: i.Name})
}

// Run plans resuming a kind.
func (i *resumeKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.ResumeKind), Target: i.Name})
}

// Run plans a change of a team.
func (i *setTeamIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.SetTeam), Target: i.Name, Settings: i.Settings})
}

// Run plans removing a team.
func (i *removeTeamIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.RemoveTeam), Target: i.Name})
}

// Run plans a restore.
func (i *restoreIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.Restore)})
}

// Run plans the first document.
func (i *initIntent) Run(p *planCommand, s *streams) error {
	b, err := os.ReadFile(i.File)
	if err != nil {
		return err
	}
	return p.requestPlan(s, schema.Intent{Action: string(config.Init), Document: string(b)})
}

// send asks for the plan and prints it.
func (p *planCommand) requestPlan(s *streams, i schema.Intent) error {
	i.Force = p.Force
	var plan schema.Plan
	if err := p.call(http.MethodPost, "/v1/plans", i, &plan); err != nil {
		return err
	}
	if p.JSON {
		return printJSON(s.out, plan)
	}
	if err := printPlan(s.out, plan); err != nil {
		return err
	}
	if plan.Refused != "" {
		return errors.Newf("a confirmation would be refused: %s", plan.Refused)
	}
	return printConfirmCommand(s.out, plan)
}

// confirmCommand carries out a plan.
type confirmCommand struct {
	operatorFlags
	File string `type:"existingfile" help:"File with the plan as plan --json prints it; - for standard input."`
	Plan string `arg:"" optional:"" help:"The plan, as plan prints it."`
}

// Validate checks the settings.
func (c *confirmCommand) Validate() error {
	if (c.File == "") == (c.Plan == "") {
		return errors.New("the plan is missing or there twice; accepted is an argument or --file")
	}
	return c.operatorFlags.Validate()
}

// Run confirms the plan.
func (c *confirmCommand) Run(s *streams) error {
	plan, err := c.readConfirmation(s.in)
	if err != nil {
		return err
	}
	var out schema.Outcome
	if err := c.call(http.MethodPost, "/v1/confirmations", plan, &out); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, out)
	}
	_, err = io.WriteString(s.out, out.Message+"\n")
	return err
}

func (c *confirmCommand) readConfirmation(in io.Reader) (schema.Confirmation, error) {
	var plan schema.Plan
	if c.Plan != "" {
		return decodeConfirmation(c.Plan)
	}
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return schema.Confirmation{}, err
		}
		defer f.Close()
		in = f
	}
	if err := json.NewDecoder(in).Decode(&plan); err != nil {
		return schema.Confirmation{}, errors.Wrapf(err, "%s holds no plan in JSON", c.File)
	}
	return confirmationOf(plan), nil
}

// confirmation returns what a confirmation needs of a plan.
func confirmationOf(p schema.Plan) schema.Confirmation {
	return schema.Confirmation{Id: p.Id, BaseRevision: p.BaseRevision, Nonce: p.Nonce, Intent: p.Intent}
}

// encodePlan packs a plan into one argument.
func encodeConfirmation(p schema.Plan) (string, error) {
	b, err := json.Marshal(confirmationOf(p))
	return base64.RawURLEncoding.EncodeToString(b), err
}

func decodeConfirmation(arg string) (schema.Confirmation, error) {
	var c schema.Confirmation
	b, err := base64.RawURLEncoding.DecodeString(arg)
	if err == nil {
		err = json.Unmarshal(b, &c)
	}
	return c, errors.Wrap(err, "the argument is not a whole plan; copy all of it")
}
