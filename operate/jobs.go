package operate

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/work"
)

// CancelRequest cancels jobs of a pool.
type CancelRequest struct {
	Pool string `json:"pool"`

	// IDs are the jobs; empty means all of the pool.
	IDs []string `json:"ids"`
}

// CancelAnswer tells how many jobs were cancelled.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}

// SubmitRequest submits jobs, all or none.
type SubmitRequest struct {
	Jobs []work.Job `json:"jobs"`
}

func (h *Handler) cancelJobs(c *gin.Context) {
	var request CancelRequest
	if !h.bind(c, &request) {
		return
	}
	count, err := h.jobs.Cancel(c.Request.Context(), request.Pool, request.IDs)
	if err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, CancelAnswer{
		Cancelled: count,
	})
}

func (h *Handler) listJobs(c *gin.Context) {
	jobs, err := h.jobs.List(c.Request.Context(), c.Query("pool"))
	if err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, jobs)
}

func (h *Handler) submitJobs(c *gin.Context) {
	var request SubmitRequest
	if !h.bind(c, &request) {
		return
	}
	if err := h.jobs.Submit(c.Request.Context(), request.Jobs); err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, request.Jobs)
}
