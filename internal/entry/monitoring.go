// The HTTP interface for monitoring.

package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// monitoringHandler returns the handler of /metrics, /healthz and /readyz.
func (e *Entry) monitoringHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/metrics", func(c *gin.Context) { e.metrics.Write(c.Writer) })
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", func(c *gin.Context) {
		if f := e.checkReady(); f != nil {
			c.String(http.StatusServiceUnavailable, f.Message+"\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	return g
}
