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
	maxReserve = 1000
	// maxReserveBody bounds the body of a reservation.
	maxReserveBody = 4096
	// teamKey is the key of the caller's team in gin's context.
	teamKey = "team"
)

// callers is the caller interface.
type callers struct {
	router *router
	state  *state
	// notReady returns why new work is refused, nil when it is accepted.
	notReady func() *verdict.Failure
	// writeLimit bounds the time in which a caller must have taken its answer.
	writeLimit time.Duration
}

// handler returns the routes of the caller interface.
func (a *callers) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.RedirectTrailingSlash = false
	g.HandleMethodNotAllowed = true
	g.NoRoute(a.noRoute)
	g.NoMethod(a.noMethod)
	g.Use(a.authenticate)
	g.POST("/v1/submissions", a.reserve)
	g.PUT("/v1/submissions/:id", a.submission)
	g.GET("/v1/submissions/:id", a.submission)
	g.DELETE("/v1/submissions/:id", a.submission)
	g.POST("/v1/jobs", a.oneCall)
	return g
}

// authenticate finds the caller's team by its bearer token.
func (a *callers) authenticate(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if ok {
		if team, known := a.state.config().TeamOf(token); known {
			c.Set(teamKey, team)
			return
		}
	}
	if f := a.notReady(); f != nil && f.Reason == verdict.NotReady {
		a.refuse(c, f) // without a configuration no token is known
		return
	}
	a.refuse(c, verdict.New(verdict.NotRun, verdict.Unauthorized, "send a team's token as Authorization: Bearer TOKEN"))
}

func (a *callers) noRoute(c *gin.Context) {
	a.refuse(c, verdict.New(verdict.NotRun, verdict.NotFound,
		"there is nothing at this path; accepted are /v1/submissions, /v1/submissions/ID and /v1/jobs"))
}

func (a *callers) noMethod(c *gin.Context) {
	a.refuse(c, verdict.New(verdict.NotRun, verdict.MethodNotAllowed,
		"method %s is not accepted here, but %s", shorten(c.Request.Method), c.Writer.Header().Get("Allow")))
}

// reserve mints identifiers; nothing runs and no memory is held.
func (a *callers) reserve(c *gin.Context) {
	if f := a.notReady(); f != nil {
		a.refuse(c, f)
		return
	}
	body, failure := readBody(c, maxReserveBody)
	if failure != nil {
		a.refuse(c, failure)
		return
	}
	r := schema.ReserveRequest{Count: 1}
	if len(bytes.TrimSpace(body)) > 0 {
		if err := decodeStrict(body, &r); err != nil {
			a.refuse(c, verdict.New(verdict.NotRun, verdict.BadRequest, "the body is not {\"count\": n}: %s", err))
			return
		}
	}
	if r.Count < 1 || r.Count > maxReserve {
		a.refuse(c, verdict.New(verdict.NotRun, verdict.BadRequest, "count is %d, accepted are 1 to %d", r.Count, maxReserve))
		return
	}
	out := schema.ReserveReply{Ids: make([]string, r.Count), UseWithinMs: a.router.submissions.window.Milliseconds()}
	for i := range out.Ids {
		out.Ids[i] = a.mint(c).String()
	}
	c.JSON(http.StatusCreated, out)
}

func (a *callers) mint(c *gin.Context) submission.ID {
	return a.router.minter.Mint(c.GetString(teamKey), a.router.clock.Now())
}

// submission serves PUT, GET and DELETE of one submission.
func (a *callers) submission(c *gin.Context) {
	r := call{method: c.Request.Method, id: c.Param("id"), team: c.GetString(teamKey)}
	if r.method == http.MethodPut {
		body, failure := a.jobBody(c)
		if failure != nil && failure.Reason == verdict.TooLarge {
			a.send(c, a.router.oversized(c.Request.Context(), r, failure))
			return
		}
		if failure != nil {
			a.refuse(c, failure)
			return
		}
		r.body = body
	}
	a.send(c, a.router.serve(c.Request.Context(), r))
}

// jobBody reads a job up to the limit in force for bodies, limits.max_body_bytes.
func (a *callers) jobBody(c *gin.Context) ([]byte, *verdict.Failure) {
	return readBody(c, int64(a.state.config().Document().GetLimits().GetMaxBodyBytes()))
}

// oneCall reserves and submits in one call.
func (a *callers) oneCall(c *gin.Context) {
	if f := a.notReady(); f != nil {
		a.refuse(c, f)
		return
	}
	body, failure := a.jobBody(c)
	if failure != nil {
		a.refuse(c, failure)
		return
	}
	_, kind, failure := checkJob(a.state.config(), body)
	if failure == nil && !kind.GetOneCall() {
		failure = verdict.New(verdict.NotRun, verdict.ReserveFirst,
			"a repeated POST would run this kind twice; reserve an identifier with POST /v1/submissions and send the job with PUT")
	}
	if failure != nil {
		a.refuse(c, failure)
		return
	}
	id := a.mint(c)
	c.Header(HeaderID, id.String())
	r := a.router.own(c.Request.Context(), id, call{
		method: http.MethodPut,
		id:     id.String(),
		team:   c.GetString(teamKey),
		body:   body,
	})
	if c.Request.Context().Err() != nil {
		// The caller never got the identifier, so nobody can ask for the answer.
		a.router.submissions.cancel(id.String())
	}
	a.send(c, r)
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
func (a *callers) refuse(c *gin.Context, f *verdict.Failure) {
	c.Abort()
	id := c.Param("id")
	if id == "" {
		a.send(c, a.router.refuse(id, f))
		return
	}
	a.send(c, a.router.unasked(id, f))
}

// send writes a reply, with its advice when to ask again in whole seconds.
func (a *callers) send(c *gin.Context, r reply) {
	// The server's limit on writing counts from the request's header, but the caller
	// may have waited long for its job. An error means that the connection is gone.
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(a.writeLimit))
	if r.retryAfter > 0 {
		seconds := (r.retryAfter + time.Second - 1) / time.Second
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Data(r.status, "application/json", r.body)
}
