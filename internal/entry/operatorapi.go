// The HTTP interface for operators: plans, confirmations, status, history and export.

package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	// maxOperatorBodyBytes bounds the body of a plan or confirmation. It suffices for the largest document in
	// JSON.
	maxOperatorBodyBytes = 8 << 20
	// operatorContextKey is the key of the operator's name in gin's context.
	operatorContextKey = "operator"
)

// operatorAPI serves the HTTP interface for operators.
type operatorAPI struct {
	// namesByTokenHash holds the operators' names by the hash of their token.
	namesByTokenHash map[string]string
	state            *state
	planner          *planner
	statuses         *statusCollector
}

// operatorNames returns the operators' names by token hash. CheckSettings has checked the setting.
func operatorNames(list []string) map[string]string {
	names := make(map[string]string, len(list))
	for _, s := range list {
		name, hash, _ := strings.Cut(s, ":")
		names[hash] = name
	}
	return names
}

// handler returns the handler of all routes for operators.
func (o *operatorAPI) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(o.authenticate)
	g.POST("/v1/plans", o.plan)
	g.POST("/v1/confirmations", o.confirm)
	g.GET("/v1/status", o.status)
	g.GET("/v1/history", o.history)
	g.GET("/v1/config", o.exportConfig)
	return g
}

// authenticate determines the operator from the bearer token.
func (o *operatorAPI) authenticate(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if name, known := o.namesByTokenHash[config.HashToken(token)]; ok && known {
		c.Set(operatorContextKey, name)
		return
	}
	c.AbortWithStatusJSON(http.StatusUnauthorized, schema.Outcome{
		Outcome: config.Refused, Reason: "unauthorized",
		Message: "send an operator's token as Authorization: Bearer TOKEN; the entry's setting --operators lists the operators",
	})
}

func (o *operatorAPI) plan(c *gin.Context) {
	var i schema.Intent
	if !readOperatorRequest(c, &i) {
		return
	}
	plan, refusal := o.planner.plan(c.Request.Context(), c.GetString(operatorContextKey), i)
	if refusal != nil {
		writeOutcome(c, refusedOutcome(refusal))
		return
	}
	c.JSON(http.StatusOK, plan)
}

func (o *operatorAPI) confirm(c *gin.Context) {
	var plan schema.Confirmation
	if readOperatorRequest(c, &plan) {
		writeOutcome(c, o.planner.confirm(c.Request.Context(), c.GetString(operatorContextKey), plan))
	}
}

// readOperatorRequest decodes the body of an operator's request. If it cannot, it replies with a refusal
// and returns false.
func readOperatorRequest(c *gin.Context, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxOperatorBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeOutcome(c, refusedOutcome(&config.Refusal{Reason: config.BadPlan, Message: fmt.Sprintf("the body cannot be decoded: %v", err)}))
		return false
	}
	return true
}

func (o *operatorAPI) status(c *gin.Context) {
	c.JSON(http.StatusOK, o.statuses.fleetStatus(c.Request.Context()))
}

func (o *operatorAPI) history(c *gin.Context) {
	c.JSON(http.StatusOK, config.HistoryOf(o.state.config().Document()))
}

// exportConfig sends the document in force, in the format that the command init accepts.
func (o *operatorAPI) exportConfig(c *gin.Context) {
	b, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(o.state.config().Document())
	if err != nil {
		_ = c.AbortWithError(http.StatusInternalServerError, err)
		return
	}
	c.Data(http.StatusOK, "application/json", append(b, '\n'))
}

// refusalStatuses holds the HTTP status for each reason of a refusal.
var refusalStatuses = map[config.Reason]int{
	config.BadIntent:           http.StatusBadRequest,
	config.BadPlan:             http.StatusBadRequest,
	config.BaseRevisionChanged: http.StatusConflict,
	config.NowhereToRun:        http.StatusConflict,
	config.PlatformOlder:       http.StatusConflict,
	config.Unreadable:          http.StatusConflict,
	config.EntryBehind:         http.StatusServiceUnavailable,
	config.PlatformUnavailable: http.StatusServiceUnavailable,
}

func writeOutcome(c *gin.Context, out schema.Outcome) {
	status := http.StatusOK
	switch out.Outcome {
	case config.Refused:
		status = refusalStatuses[config.Reason(out.Reason)]
	case config.OutcomeUnknown:
		status = http.StatusGatewayTimeout
	}
	c.JSON(status, out)
}

func refusedOutcome(r *config.Refusal) schema.Outcome {
	out := schema.Outcome{Outcome: config.Refused, Reason: string(r.Reason), Message: r.Message, Moved: r.AppliedSince}
	if r.Reason == config.PlatformUnavailable || r.Reason == config.EntryBehind {
		out.RetryAfterMs = operatorRetryAfter.Milliseconds()
	}
	return out
}

func appliedOutcome(rec *schema.AppliedPlan, earlier bool) schema.Outcome {
	out := schema.Outcome{
		Outcome: config.Applied, Revision: rec.GetRevision(), Earlier: earlier,
		Message: fmt.Sprintf("applied as revision %d", rec.GetRevision()),
	}
	if earlier {
		out.Message = fmt.Sprintf("was applied before, as revision %d by %s; it was not applied again", rec.GetRevision(), rec.GetOperator())
	}
	return out
}

func unknownOutcome() schema.Outcome {
	return schema.Outcome{
		Outcome: config.OutcomeUnknown, Reason: string(config.PlatformUnavailable),
		Message: "a write was sent, but the platform's service did not answer: the plan may have been applied or may still be applied. " +
			"Confirm the same plan again when the platform answers: it is applied at most once, and the answer tells whether it was applied",
		RetryAfterMs: operatorRetryAfter.Milliseconds(),
	}
}

// newOperatorAPI creates the operator interface.
func (e *Entry) newOperatorAPI() *operatorAPI {
	f := &statusCollector{members: e.members, client: e.peerClient, metrics: e.metrics, syncer: e.syncer, self: e.Status}
	return &operatorAPI{
		namesByTokenHash: operatorNames(e.settings.Operators),
		state:            e.state,
		statuses:         f,
		planner: &planner{
			state: e.state, platform: e.platform, syncer: e.syncer, log: e.log, metrics: e.metrics,
			newestPeerRevision: e.members.newestConfigRevision,
			fleetLoad:          f.fleetLoad,
			announce:           func() { go e.members.heartbeatRound(context.Background(), nil) },
		},
	}
}
