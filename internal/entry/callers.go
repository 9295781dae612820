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

// HeaderID carries the identifier of a submission made by POST /v1/jobs.
const HeaderID = "Lavendercleat-Id"

const (
	// maxReserve bounds the identifiers of one reservation.
	maxReservedIDs = 1000
	// maxReserveBody bounds the body of a reservation.
	maxReservationBytes = 4096
	// teamKey is the key of the caller's team in gin's context.
	teamContextKey = "team"
)

// callers is the caller interface.
type callerAPI struct {
	router *router
	state  *state
	// notReady returns why new work is refused, nil when it is accepted.
	checkAcceptsWork func() *verdict.Failure
	// writeLimit bounds the time in which a caller must have taken its answer.
	writeLimit time.Duration
}

// handler returns the routes of the caller interface.
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

// authenticate finds the caller's team by its bearer token.
func (a *callerAPI) authenticate(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if ok {
		if team, known := a.state.config().TeamOf(token); known {
			c.Set(teamContextKey, team)
			return
		}
	}
	if f := a.checkAcceptsWork(); f != nil && f.Reason == verdict.NotReady {
		a.writeRefusal(c, f) // without a configuration no token is known
		return
	}
	a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.Unauthorized, "send a team's token as Authorization: Bearer TOKEN"))
}

func (a *callerAPI) handleNoRoute(c *gin.Context) {
	a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.NotFound,
		"there is nothing at this path; accepted are /v1/submissions, /v1/submissions/ID and /v1/jobs"))
}

func (a *callerAPI) handleNoMethod(c *gin.Context) {
	a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.MethodNotAllowed,
		"method %s is not accepted here, but %s", truncate(c.Request.Method), c.Writer.Header().Get("Allow")))
}

// reserve mints identifiers; nothing runs and no memory is held.
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
			a.writeRefusal(c, verdict.New(verdict.NotRun, verdict.BadRequest, "the body is not {\"count\": n}: %s", err))
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

// submission serves PUT, GET and DELETE of one submission.
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

// jobBody reads a job up to the limit in force for bodies, limits.max_body_bytes.
func (a *callerAPI) readJobBody(c *gin.Context) ([]byte, *verdict.Failure) {
	return readBody(c, int64(a.state.config().Document().GetLimits().GetMaxBodyBytes()))
}

// oneCall reserves and submits in one call.
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
			"a repeated POST would run this kind twice; reserve an identifier with POST /v1/submissions and send the job with PUT")
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
		// The caller never got the identifier, so nobody can ask for the answer.
		a.router.submissions.cancel(id.String())
	}
	a.writeReply(c, resp)
}

// readBody reads a body of bounded size.
func readBody(c *gin.Context, limit int64) ([]byte, *verdict.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	if err == nil {
		return body, nil
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "the body is over %d bytes; split the job", limit)
	}
	return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "the body broke off")
}

// refuse ends a request without asking the owner of its identifier, if it has one.
func (a *callerAPI) writeRefusal(c *gin.Context, f *verdict.Failure) {
	c.Abort()
	id := c.Param("id")
	if id == "" {
		a.writeReply(c, a.router.refuse(id, f))
		return
	}
	a.writeReply(c, a.router.refuseUnrouted(id, f))
}

// send writes a reply, with its advice when to ask again in whole seconds.
func (a *callerAPI) writeReply(c *gin.Context, r reply) {
	// The server's limit on writing counts from the request's header, but the caller
	// may have waited long for its job. An error means that the connection is gone.
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(a.writeLimit))
	if r.retryAfter > 0 {
		seconds := (r.retryAfter + time.Second - 1) / time.Second
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Data(r.status, "application/json", r.body)
}
