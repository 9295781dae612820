// The HTTP interface of the stand-in platform, with injected faults.

package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lavendercleat/lavendercleat/internal/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Faults are the faults that the stand-in injects into calls. POST /admin/faults sets them.
type Faults struct {
	// FailCalls makes every call fail with status 500 and without an effect.
	FailCalls bool `json:"down"`
	// FailWrites makes PUT calls fail in the same way.
	FailWrites bool `json:"down_writes"`
	// DelayMS delays every call by this number of milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// DropWriteReplies is the number of writes that take effect and whose connections are closed before
	// the reply.
	DropWriteReplies int `json:"lose_write_replies"`
	// DropReplies makes every call take effect, and closes its connection before the reply.
	DropReplies bool `json:"lose_replies"`
}

// Counts are the numbers of calls, including the calls that an injected fault interrupted. A watch counts
// as one call for as long as it waits. GET /admin/counts returns them.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Server is the stand-in of the platform's service. It implements http.Handler.
type Server struct {
	http.Handler
	store   *store
	vms     *vmList
	mu      sync.Mutex
	faults  Faults
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
}

// NewServer returns a stand-in without keys and VMs.
func NewServer() *Server {
	s := &Server{store: newStore(), vms: newVMList()}
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	v1 := r.Group("/v1", s.countCall, s.applyFaults)
	v1.GET("/keys/:key", s.getKey)
	v1.PUT("/keys/:key", s.putKey)
	v1.GET("/vms", s.getVMs)
	v1.POST("/leases", s.grantLease)
	v1.POST("/leases/:id", s.renewLease)
	admin := r.Group("/admin")
	admin.POST("/vms", s.setVMs)
	admin.POST("/lag", s.setLag)
	admin.POST("/faults", s.setFaults)
	admin.PUT("/keys/:key", s.restoreKey)
	admin.GET("/counts", s.getCounts)
	s.Handler = r
	return s
}

// SetVMs replaces the list of VMs.
func (s *Server) SetVMs(vms []*schema.Vm) { s.vms.set(vms) }

// applyFaults injects the configured faults into a call.
func (s *Server) applyFaults(c *gin.Context) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	if f.FailCalls || f.FailWrites && c.Request.Method == http.MethodPut {
		c.AbortWithStatus(http.StatusInternalServerError)
	}
	if f.DropReplies {
		c.Writer = discardingWriter{c.Writer}
		c.Next()
		panic(http.ErrAbortHandler)
	}
}

// discardingWriter discards a reply.
type discardingWriter struct{ gin.ResponseWriter }

// Write implements io.Writer.
func (discardingWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeaderNow implements gin.ResponseWriter.
func (discardingWriter) WriteHeaderNow() {}

// shouldDropReply reports whether to drop the reply of this write, and counts it as dropped.
func (s *Server) shouldDropReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropWriteReplies == 0 {
		return false
	}
	s.faults.DropWriteReplies--
	return true
}

// queryUint returns a number from the query, or 0 if it is missing or invalid.
func queryUint(c *gin.Context, name string) uint64 {
	n, _ := strconv.ParseUint(c.Query(name), 10, 64)
	return n
}

// watchParams returns the revision after which a watch waits for a change, and a channel that receives at
// the end of its wait. For other calls the wait is 0.
func watchParams(c *gin.Context) (after uint64, timeout <-chan time.Time) {
	wait := time.Duration(queryUint(c, platform.ParamWait)) * time.Millisecond
	return queryUint(c, platform.ParamAfter), time.After(wait)
}

// getKey returns a key's value. A watch waits until the revision differs from the given one.
func (s *Server) getKey(c *gin.Context) {
	watch := isWatch(c)
	after, timeout := watchParams(c)
	for {
		v, found, changed := s.store.get(c.Param("key"))
		if !watch && !found {
			c.Status(http.StatusNotFound)
			return
		}
		if !watch || v.Revision != after {
			c.JSON(http.StatusOK, v)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			c.JSON(http.StatusOK, v)
			return
		case <-c.Request.Context().Done():
			return
		}
	}
}

// isWatch reports whether a call is a watch: whether it gives a wait time.
func isWatch(c *gin.Context) bool { return c.Query(platform.ParamWait) != "" }

// countCall counts a call before an injected fault can interrupt it.
func (s *Server) countCall(c *gin.Context) {
	switch {
	case c.Request.Method != http.MethodGet:
		s.writes.Add(1)
	case isWatch(c):
		s.watches.Add(1)
	default:
		s.reads.Add(1)
	}
}

// putKey writes a key if its revision is the given one.
func (s *Server) putKey(c *gin.Context) {
	b, err := io.ReadAll(io.LimitReader(c.Request.Body, platform.MaxValueBytes+1))
	if err != nil {
		return
	}
	if len(b) > platform.MaxValueBytes {
		c.Status(http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := s.store.put(c.Param("key"), queryUint(c, platform.ParamPrev), b, queryUint(c, "lease"))
	if s.shouldDropReply() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, platform.ErrConflict):
		c.Status(http.StatusConflict)
	case err != nil:
		c.String(http.StatusGone, err.Error())
	default:
		c.JSON(http.StatusOK, platform.Value{Revision: rev})
	}
}

// getVMs returns the VM list. A watch waits until the version differs from the given one.
func (s *Server) getVMs(c *gin.Context) {
	watch := isWatch(c)
	after, timeout := watchParams(c)
	for {
		b, version, changed, err := s.vms.get()
		if err != nil {
			c.Status(http.StatusInternalServerError)
			return
		}
		if !watch || version != after {
			c.Data(http.StatusOK, "application/x-protobuf", b)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			c.Data(http.StatusOK, "application/x-protobuf", b)
			return
		case <-c.Request.Context().Done():
			return
		}
	}
}

func (s *Server) grantLease(c *gin.Context) {
	id := s.store.grant(time.Duration(queryUint(c, "ttl_ms")) * time.Millisecond)
	c.JSON(http.StatusOK, gin.H{"lease": id})
}

func (s *Server) renewLease(c *gin.Context) {
	id, _ := strconv.ParseUint(c.Param("id"), 10, 64)
	if err := s.store.renew(id); err != nil {
		c.String(http.StatusGone, err.Error())
	}
}

// setVMs replaces the VM list. With a version it sets the list at that version and without the lag.
func (s *Server) setVMs(c *gin.Context) {
	b, err := io.ReadAll(c.Request.Body)
	if err != nil {
		return
	}
	var l schema.VmList
	if err := protojson.Unmarshal(b, &l); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if version := queryUint(c, "version"); version > 0 {
		s.vms.restore(version, l.GetVms())
		return
	}
	s.vms.set(l.GetVms())
}

func (s *Server) setLag(c *gin.Context) {
	s.vms.setLag(time.Duration(queryUint(c, "ms")) * time.Millisecond)
}

func (s *Server) setFaults(c *gin.Context) {
	var f Faults
	if err := c.BindJSON(&f); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// restoreKey overwrites a key with a value and its revision.
func (s *Server) restoreKey(c *gin.Context) {
	var v platform.Value
	if err := c.BindJSON(&v); err != nil {
		return
	}
	s.store.restore(c.Param("key"), v)
}

func (s *Server) getCounts(c *gin.Context) {
	c.JSON(http.StatusOK, Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()})
}
