package standin

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/platform"
)

// taskRoutes adds the routes of tasks.
func (p *Platform) taskRoutes(group *gin.RouterGroup) {
	group.GET(platform.PathTasks, func(c *gin.Context) { c.JSON(http.StatusOK, p.Tasks.List(c.Query("pool"))) })
	group.POST(platform.PathTasks, func(c *gin.Context) {
		var request platform.StartRequest
		if bound(c, &request) {
			p.Tasks.start(request.Task, time.Duration(request.LeaseMillis)*time.Millisecond)
		}
	})
	group.POST(platform.PathTaskCheckpoint, func(c *gin.Context) { p.Tasks.checkpoint(c.Query("id")) })
	group.POST(platform.PathTaskRenew, func(c *gin.Context) {
		var request platform.RenewRequest
		if bound(c, &request) {
			p.Tasks.renew(request.IDs, time.Duration(request.LeaseMillis)*time.Millisecond)
		}
	})
	group.POST(platform.PathTaskStop, func(c *gin.Context) {
		var wanted platform.Task
		if bound(c, &wanted) {
			p.Tasks.stop(wanted)
		}
	})
}

// bound reads a JSON body; it answers by itself when it can't.
func bound(c *gin.Context, into any) bool {
	if err := c.ShouldBindJSON(into); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
