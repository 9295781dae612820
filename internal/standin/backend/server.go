// One stand-in backend server, its behaviour and its record of the tasks that ran.

package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lavendercleat/lavendercleat/internal/backend"
)

// Behaviour determines how the stand-in handles tasks. POST /admin/behaviour sets it.
type Behaviour struct {
	// Mode is how the stand-in handles tasks.
	Mode Mode `json:"mode"`
	// RunMS is the run time, in milliseconds, of tasks whose payload has none.
	RunMS int64 `json:"run_ms"`
	// SlowBy multiplies all run times if it is above 0.
	SlowBy float64 `json:"slow_by"`
	// OnlyTask limits the reply of Mode to the task with this index, if set. Other tasks get the reply of
	// Serve.
	OnlyTask *int `json:"only_task"`
}

// Mode is a way of handling tasks.
type Mode string

// Modes of a stand-in.
const (
	// Serve runs tasks and returns their results.
	Serve Mode = "serve"
	// Fail starts every task and responds with status 500 immediately.
	Fail Mode = "fail"
	// Refuse refuses every task before it starts.
	Refuse Mode = "refuse"
	// Leaving refuses every task before it starts, and the response says that the server is leaving.
	Leaving Mode = "leaving"
	// ServeWhileLeaving runs tasks, and the responses say that the server is leaving.
	ServeWhileLeaving Mode = "leaving_serve"
	// Stall starts every task and never responds.
	Stall Mode = "stall"
	// DropReply runs tasks and closes the connection instead of responding.
	DropReply Mode = "drop_reply"
	// CutReply runs tasks and closes the connection in the middle of the response.
	CutReply Mode = "cut_reply"
)

// Payload has the fields of a task's payload that the stand-in interprets. All are optional.
type Payload struct {
	// RunMS is the run time of the task in milliseconds.
	RunMS *int64 `json:"run_ms"`
	// Fail makes the task fail after it has run.
	Fail bool `json:"fail"`
	// ReplyBytes pads the result with this number of bytes.
	ReplyBytes int `json:"reply_bytes"`
}

// Result is the stand-in's result of a task. It contains the payload.
type Result struct {
	Submission string          `json:"submission"`
	Task       int             `json:"task"`
	Payload    json.RawMessage `json:"payload"`
	Padding    string          `json:"padding,omitempty"`
}

// RunRecord counts the tasks that ran on a stand-in. GET /admin/witness returns it.
type RunRecord struct {
	// Starts counts all starts. Duplicates counts the starts of tasks that had started before.
	Starts     int64 `json:"starts"`
	Duplicates int64 `json:"doubled"`
	// LastStartMS is the time of the latest start, in milliseconds since the Unix epoch.
	LastStartMS int64 `json:"last_start_ms"`
	// Refused counts refusals. Aborted counts tasks whose caller disconnected.
	Refused int64 `json:"refused"`
	Aborted int64 `json:"aborted"`
	// BusyMS is the sum of all run times in milliseconds.
	BusyMS int64 `json:"busy_ms"`
	// Unidentified describes the first requests without the identifier of a task: their sender,
	// destination and headers. The stand-in refuses such requests and starts nothing.
	Unidentified []string `json:"nameless,omitempty"`
	// Tasks counts the starts by submission and task, as "submission/task".
	Tasks map[string]int `json:"tasks,omitempty"`
}

// Server is one stand-in backend server. It implements http.Handler.
type Server struct {
	http.Handler
	slots int
	// startLog gets a line at each start, before the task runs. It may be nil.
	startLog io.Writer

	mu        sync.Mutex
	behaviour Behaviour
	running   int
	record    RunRecord
	// busyTime is the sum of all run times.
	busyTime time.Duration
}

// NewServer returns a stand-in with the given number of slots and default run time, in mode Serve.
func NewServer(slots int, run time.Duration) *Server {
	s := &Server{
		slots:     slots,
		behaviour: Behaviour{Mode: Serve, RunMS: run.Milliseconds()},
		record:    RunRecord{Tasks: make(map[string]int)},
	}
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	admin := r.Group("/admin")
	admin.GET("/witness", s.getRecord)
	admin.POST("/behaviour", s.setBehaviour)
	r.NoRoute(s.serveTask)
	s.Handler = r
	return s
}

// Record returns a copy of the record so far.
func (s *Server) Record() RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.BusyMS = s.busyTime.Milliseconds()
	r.Unidentified = slices.Clone(s.record.Unidentified)
	r.Tasks = make(map[string]int, len(s.record.Tasks))
	for k, n := range s.record.Tasks {
		r.Tasks[k] = n
	}
	return r
}

// Totals returns the record so far without the counts of single tasks.
func (s *Server) Totals() RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Tasks = nil
	r.BusyMS = s.busyTime.Milliseconds()
	return r
}

// getRecord handles GET /admin/witness. With the parameter totals it leaves out the single tasks.
func (s *Server) getRecord(c *gin.Context) {
	if c.Query("totals") != "" {
		c.JSON(http.StatusOK, s.Totals())
		return
	}
	c.JSON(http.StatusOK, s.Record())
}

func (s *Server) setBehaviour(c *gin.Context) {
	b := Behaviour{Mode: Serve}
	if err := c.BindJSON(&b); err != nil {
		return
	}
	s.SetBehaviour(b)
}

// SetBehaviour changes how the stand-in handles tasks.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// admit takes a slot and counts a start. If there is no free slot, or the mode refuses tasks, it counts a
// refusal.
func (s *Server) admit(key string) (b Behaviour, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = s.behaviour
	if b.Mode == Refuse || b.Mode == Leaving || s.running >= s.slots {
		s.record.Refused++
		return b, false
	}
	s.running++
	if s.startLog != nil {
		_, _ = io.WriteString(s.startLog, key+"\n") // a failed write shows as a missing start
	}
	s.record.Starts++
	s.record.LastStartMS = time.Now().UnixMilli()
	s.record.Tasks[key]++
	if s.record.Tasks[key] > 1 {
		s.record.Duplicates++
	}
	return b, true
}

// release frees the slot of a run and adds its run time.
func (s *Server) release(runTime time.Duration, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.busyTime += runTime
	if aborted {
		s.record.Aborted++
	}
}

// maxUnidentified is the largest number of requests in RunRecord.Unidentified.
const maxUnidentified = 20

// recordUnidentified records a request without the identifier of a task.
func (s *Server) recordUnidentified(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.record.Unidentified) < maxUnidentified {
		s.record.Unidentified = append(s.record.Unidentified, fmt.Sprintf("%s %s from %s to %s, headers %v", r.Method, r.URL.Path, r.RemoteAddr, r.Host, r.Header))
	}
}

// serveTask runs one task and responds. It accepts only POST: a process may get the port of another
// server that has ended, and then receive a probe for that server. The probe must not start a task.
func (s *Server) serveTask(c *gin.Context) {
	if c.Request.Method != http.MethodPost {
		c.Status(http.StatusNotFound)
		return
	}
	if c.GetHeader(backend.HeaderSubmission) == "" || c.GetHeader(backend.HeaderTask) == "" {
		s.recordUnidentified(c.Request)
		c.Status(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		return
	}
	sub := c.GetHeader(backend.HeaderSubmission)
	index := c.GetHeader(backend.HeaderTask)
	b, started := s.admit(sub + "/" + index)
	if b.Mode == Leaving || b.Mode == ServeWhileLeaving {
		c.Header(backend.HeaderLeaving, "1")
	}
	if !started {
		c.Header(backend.HeaderNotRun, "1")
		c.Status(http.StatusServiceUnavailable)
		return
	}
	var p Payload
	_ = json.Unmarshal(body, &p) // a payload of another format sets no behaviour
	runTime, aborted := s.runTask(c, b, p)
	s.release(runTime, aborted)
	if aborted {
		return
	}
	task, _ := strconv.Atoi(index)
	s.reply(c, b, p, Result{Submission: sub, Task: task, Payload: body})
}

// runTask waits for the run time and reports whether the caller disconnected meanwhile. A run that ends
// in time counts with its nominal run time. Otherwise late timers would increase the sum over many
// tasks.
func (s *Server) runTask(c *gin.Context, b Behaviour, p Payload) (runTime time.Duration, aborted bool) {
	ms := b.RunMS
	if p.RunMS != nil {
		ms = *p.RunMS
	}
	planned := time.Duration(ms) * time.Millisecond
	if b.SlowBy > 0 {
		planned = time.Duration(float64(planned) * b.SlowBy)
	}
	start := time.Now()
	switch b.Mode {
	case Fail:
		planned = 0
	case Stall:
		<-c.Request.Context().Done()
		return time.Since(start), true
	}
	if planned == 0 {
		return 0, false
	}
	t := time.NewTimer(planned)
	defer t.Stop()
	select {
	case <-t.C:
		return planned, false
	case <-c.Request.Context().Done():
		return time.Since(start), true
	}
}

// reply responds according to the behaviour and the payload.
func (s *Server) reply(c *gin.Context, b Behaviour, p Payload, r Result) {
	mode := b.Mode
	if b.OnlyTask != nil && *b.OnlyTask != r.Task {
		mode = Serve
	}
	if p.ReplyBytes > 0 {
		r.Padding = strings.Repeat("x", p.ReplyBytes)
	}
	switch {
	case mode == DropReply:
		panic(http.ErrAbortHandler)
	case mode == CutReply:
		c.Header("Content-Length", "1000")
		_, _ = c.Writer.WriteString(`{"submission"`)
		c.Writer.Flush()
		panic(http.ErrAbortHandler)
	case mode == Fail || p.Fail:
		c.String(http.StatusInternalServerError, "task failed")
	default:
		c.JSON(http.StatusOK, r)
	}
}
