package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// operators is the operator interface.
func (e *Entry) operators() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, e.Status()) })
	return g
}
