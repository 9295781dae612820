// The HTTP interface for callers: authentication, request bodies and replies.

package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/submission"
	"github.com/lavendercleat/lavendercleat/verdict"
)

// HeaderID is the header with the identifier of a submission made by POST /v1/jobs.
const HeaderID = "Lavendercleat-Id"

const (
	// maxReservedIDs bounds the number of identifiers of one reservation.
	maxReservedIDs = 1000
	// maxReservationBytes bounds the body of a reservation.
	maxReservationBytes = 4096
	// teamContextKey is the key of the caller's team in gin's context.
	teamContextKey = "team"
)

// callerAPI serves the HTTP interface for callers.
type callerAPI struct {
	router *router
	state  *state
	// checkAcceptsWork returns the reason why new work is refused, or nil if it is accepted.
	checkAcceptsWork func() *verdict.Failure
	// writeLimit bounds the time in which a caller must read its reply.
	writeLimit time.Duration
}

// handler returns the handler of all routes for callers.
func (a *callerAPI) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.RedirectTrailingSlash = false
	g.HandleMethodNotAllowed = true
	g.NoRoute(a.handleNoRoute)
	g.NoMethod(a.handleNoMethod)
	g.Use(a.authenticate)
	g.POST("/v1/submissions", a.reserveIDs)
	g.PUT("/v1/submissions/:id", a.serveSubmission)
	g.GET("/v1/submissions/:id", a.serveSubmission)
	g.DELETE("/v1/submissions/:id", a.serveSubmission)
	g.POST("/v1/jobs", a.submitInOneCall)
	return g
}

// authenticate determines the caller's team from the bearer token.
func (a *callerAPI) authenticate(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if ok {
		if team, known := a.state.config().TeamOf(token); known {
			c.Set(teamContextKey, team)
			return
		}
	}
	if f := a.checkAcceptsWork(); f != nil && f.Reason == verdict.NotReady {
		a.writeRefusal(c, f) // without a configuration, no token can be checked
		return
	}
	a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.Unauthorized, "send a team's token as Authorization: Bearer TOKEN"))
}

func (a *callerAPI) handleNoRoute(c *gin.Context) {
	a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.NotFound,
		"this path does not exist; accepted are /v1/submissions, /v1/submissions/ID and /v1/jobs"))
}

func (a *callerAPI) handleNoMethod(c *gin.Context) {
	a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.MethodNotAllowed,
		"method %s is not accepted for this path; accepted are %s", truncate(c.Request.Method), c.Writer.Header().Get("Allow")))
}

// reserveIDs mints identifiers. A reservation starts nothing and takes no memory in the process.
func (a *callerAPI) reserveIDs(c *gin.Context) {
	if f := a.checkAcceptsWork(); f != nil {
		a.writeRefusal(c, f)
		return
	}
	body, failure := readBody(c, maxReservationBytes)
	if failure != nil {
		a.writeRefusal(c, failure)
		return
	}
	req := schema.ReserveRequest{Count: 1}
	if len(bytes.TrimSpace(body)) > 0 {
		if err := decodeStrict(body, &req); err != nil {
			a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.BadRequest, "the body is not a JSON object {\"count\": n}: %s", err))
			return
		}
	}
	if req.Count < 1 || req.Count > maxReservedIDs {
		a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.BadRequest, "count is %d, accepted are 1 to %d", req.Count, maxReservedIDs))
		return
	}
	reply := schema.ReserveReply{Ids: make([]string, req.Count), UseWithinMs: a.router.submissions.window.Milliseconds()}
	for i := range reply.Ids {
		reply.Ids[i] = a.mintID(c).String()
	}
	c.JSON(http.StatusCreated, reply)
}

func (a *callerAPI) mintID(c *gin.Context) submission.ID {
	return a.router.minter.Mint(c.GetString(teamContextKey), a.router.clock.Now())
}

// serveSubmission serves PUT, GET and DELETE requests for one submission.
func (a *callerAPI) serveSubmission(c *gin.Context) {
	req := callerRequest{method: c.Request.Method, id: c.Param("id"), team: c.GetString(teamContextKey)}
	if req.method == http.MethodPut {
		body, failure := a.readJobBody(c)
		if failure != nil && failure.Reason == verdict.TooLarge {
			a.writeReply(c, a.router.serveOversized(c.Request.Context(), req, failure))
			return
		}
		if failure != nil {
			a.writeRefusal(c, failure)
			return
		}
		req.body = body
	}
	a.writeReply(c, a.router.serve(c.Request.Context(), req))
}

// readJobBody reads the body of a job, up to the configured limits.max_body_bytes.
func (a *callerAPI) readJobBody(c *gin.Context) ([]byte, *verdict.Failure) {
	return readBody(c, int64(a.state.config().Document().GetLimits().GetMaxBodyBytes()))
}

// submitInOneCall reserves an identifier and submits the job under it, in one request.
func (a *callerAPI) submitInOneCall(c *gin.Context) {
	if f := a.checkAcceptsWork(); f != nil {
		a.writeRefusal(c, f)
		return
	}
	body, failure := a.readJobBody(c)
	if failure != nil {
		a.writeRefusal(c, failure)
		return
	}
	_, kind, failure := checkJob(a.state.config(), body)
	if failure == nil && !kind.GetOneCall() {
		failure = verdict.New(verdict.NotRun, verdict.ReserveFirst,
			"a repeated POST would run a job of this kind twice; reserve an identifier with POST /v1/submissions and send the job with PUT")
	}
	if failure != nil {
		a.writeRefusal(c, failure)
		return
	}
	id := a.mintID(c)
	c.Header(HeaderID, id.String())
	resp := a.router.serveOwned(c.Request.Context(), id, callerRequest{
		method: http.MethodPut,
		id:     id.String(),
		team:   c.GetString(teamContextKey),
		body:   body,
	})
	if c.Request.Context().Err() != nil {
		// The caller did not receive the identifier, so no caller can request the answer.
		a.router.submissions.cancel(id.String())
	}
	a.writeReply(c, resp)
}

// readBody reads a request body of at most limit bytes.
func readBody(c *gin.Context, limit int64) ([]byte, *verdict.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	if err == nil {
		return body, nil
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "the body is larger than %d bytes; split the job", limit)
	}
	return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "the body could not be read to its end")
}

// writeRefusal refuses a request without asking the owner of its identifier, if it has one.
func (a *callerAPI) writeRefusal(c *gin.Context, f *verdict.Failure) {
	c.Abort()
	id := c.Param("id")
	if id == "" {
		a.writeReply(c, a.router.refuse(id, f))
		return
	}
	a.writeReply(c, a.router.refuseUnrouted(id, f))
}

// writeReply writes a reply. The Retry-After header is rounded up to whole seconds.
func (a *callerAPI) writeReply(c *gin.Context, r reply) {
	// The server's write time-out counts from the request's header, but the caller may have waited long for
	// its job. So the time-out is restarted here. An error means that the connection is lost.
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(a.writeLimit))
	if r.retryAfter > 0 {
		seconds := (r.retryAfter + time.Second - 1) / time.Second
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Data(r.status, "application/json", r.body)
}
