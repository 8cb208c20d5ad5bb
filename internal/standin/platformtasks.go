package standin

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/store"
)

// taskRoutes adds the routes of tasks.
func (p *Platform) taskRoutes(group *gin.RouterGroup) {
	group.GET(store.PathTasks, func(c *gin.Context) { c.JSON(http.StatusOK, p.Tasks.List(c.Query("pool"))) })
	group.POST(store.PathTasks, func(c *gin.Context) {
		var request store.StartRequest
		if bound(c, &request) {
			p.Tasks.start(request.Task, time.Duration(request.LeaseMillis)*time.Millisecond)
		}
	})
	group.POST(store.PathTaskCheckpoint, func(c *gin.Context) { p.Tasks.checkpoint(c.Query("id")) })
	group.POST(store.PathTaskRenew, func(c *gin.Context) {
		var request store.RenewRequest
		if bound(c, &request) {
			p.Tasks.renew(request.IDs, time.Duration(request.LeaseMillis)*time.Millisecond)
		}
	})
	group.POST(store.PathTaskStop, func(c *gin.Context) {
		var wanted store.Task
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
