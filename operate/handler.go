package operate

import (
	"errors"
	"log/slog"
	"net/http"
	"sort"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/budget"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
	"lemonstream.dev/lemonstream/wave"
	"lemonstream.dev/lemonstream/work"
)

// maxBodyBytes bounds an operator's request.
const maxBodyBytes = 1 << 20

// Handler answers operators.
type Handler struct {
	store     *control.Store
	watch     *state.Watch
	peers     *member.Peers
	readiness *entry.Readiness
	platform  store.Platform
	reporter  *Reporter
	jobs      *work.Store
	counts    *conns.Counts
	clock     clock.Clock
	log       *slog.Logger
}

// Routes adds the operators' routes to the engine.
func (h *Handler) Routes(engine *gin.Engine) {
	engine.GET(PathLive, func(c *gin.Context) { c.String(http.StatusOK, "live\n") })
	engine.GET(PathReady, h.ready)
	engine.GET(PathMetrics, h.metrics)
	engine.GET(PathConfig, h.config)
	engine.GET(PathInstances, h.instances)
	engine.GET(PathMembers, h.members)
	engine.GET(PathPools, h.pools)
	engine.GET(PathReport, h.report)
	engine.GET(PathServices, h.services)
	engine.GET(PathPlans, h.plans)
	engine.POST(PathPlans, h.propose)
	engine.GET(PathJobs, h.listJobs)
	engine.POST(PathJobs, h.submitJobs)
	engine.POST(PathJobs+"/cancel", h.cancelJobs)
	engine.GET(PathPlans+"/:id", h.plan)
	engine.POST(PathPlans+"/:id/confirm", h.confirm)
	engine.POST(PathPlans+"/:id/verb", h.verb)
}

func (h *Handler) config(c *gin.Context) {
	view := h.watch.View()
	body, err := view.ConfigBody()
	if err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, ConfigAnswer{
		Version:  view.Config.Version,
		Accepted: view.ConfigAccepted,
		Body:     string(body),
	})
}

func (h *Handler) confirm(c *gin.Context) {
	var request ConfirmRequest
	if !h.bind(c, &request) {
		return
	}
	plan, err := h.store.Confirm(c.Request.Context(), c.Param("id"), request.Digest)
	h.answerPlan(c, plan, err)
}

func (h *Handler) instances(c *gin.Context) {
	view := h.watch.View()
	answers := make([]InstanceAnswer, 0, len(view.Instances))
	for id, instance := range view.Instances {
		answers = append(answers, InstanceAnswer{
			ID:      id,
			Pool:    instance.Pool,
			Rack:    instance.Rack,
			Zone:    instance.Zone,
			Address: instance.Address.String(),
			Phase:   string(instance.Phase),
			Plan:    instance.Plan,
			Listed:  string(view.Listed[id].State),
			Boot:    view.Listed[id].Boot,
		})
	}
	sort.Slice(answers, func(i, j int) bool { return answers[i].ID < answers[j].ID })
	c.JSON(http.StatusOK, answers)
}

func (h *Handler) members(c *gin.Context) {
	own := h.peers.Own()
	answers := []MemberAnswer{memberAnswer(own, true)}
	for _, peer := range h.peers.Live() {
		answers = append(answers, memberAnswer(peer.Hello, !peer.At.IsZero()))
	}
	view := h.watch.View()
	for i := range answers {
		answers[i].Zone = view.Members[answers[i].ID].Zone
	}
	sort.Slice(answers, func(i, j int) bool { return answers[i].ID < answers[j].ID })
	c.JSON(http.StatusOK, answers)
}

func (h *Handler) plan(c *gin.Context) {
	plan, err := h.store.Plan(c.Request.Context(), c.Param("id"))
	h.answerPlan(c, plan, err)
}

func (h *Handler) plans(c *gin.Context) {
	answers := make([]PlanAnswer, 0)
	for _, plan := range h.store.Plans() {
		answers = append(answers, h.progress(plan))
	}
	sort.Slice(answers, func(i, j int) bool { return answers[i].Created < answers[j].Created })
	c.JSON(http.StatusOK, answers)
}

func (h *Handler) pools(c *gin.Context) {
	view := h.watch.View()
	planner := h.store.Planner()
	answers := make([]PoolAnswer, 0, len(view.Pools))
	for name := range view.Pools {
		pool := planner.Pool(name)
		reserve := pool.Reserve(nil)
		answers = append(answers, PoolAnswer{
			Name:      name,
			Instances: len(pool.Instances),
			Available: pool.Available(),
			Least:     pool.Least,
			Reserve:   reserve,
			Free:      max(0, pool.Available()-pool.Least-reserve),
		})
	}
	sort.Slice(answers, func(i, j int) bool { return answers[i].Name < answers[j].Name })
	c.JSON(http.StatusOK, answers)
}

func (h *Handler) propose(c *gin.Context) {
	var asked intent.Intent
	if !h.bind(c, &asked) {
		return
	}
	plan, err := h.store.Propose(c.Request.Context(), asked)
	h.answerPlan(c, plan, err)
}

func (h *Handler) ready(c *gin.Context) {
	ready, note := h.readiness.Check()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	if note == "" {
		note = "ready"
	}
	c.String(status, note+"\n")
}

func (h *Handler) report(c *gin.Context) {
	c.JSON(http.StatusOK, h.reporter.Report(c.Request.Context()))
}

func (h *Handler) services(c *gin.Context) {
	view := h.watch.View()
	answers := make([]ServiceAnswer, 0, len(view.Config.Services))
	for name, service := range view.Config.Services {
		answers = append(answers, ServiceAnswer{
			Name:         name,
			Pool:         service.Pool,
			MinAvailable: service.MinAvailable,
			Objective:    service.Objective,
		})
	}
	sort.Slice(answers, func(i, j int) bool { return answers[i].Name < answers[j].Name })
	c.JSON(http.StatusOK, answers)
}

func (h *Handler) verb(c *gin.Context) {
	var request VerbRequest
	if !h.bind(c, &request) {
		return
	}
	plan, err := h.store.Apply(c.Request.Context(), c.Param("id"), request.Verb, request.Operator)
	h.answerPlan(c, plan, err)
}

func (h *Handler) answerPlan(c *gin.Context, plan *intent.Plan, err error) {
	if err != nil {
		h.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, h.progress(plan))
}

// bind reads a JSON body; it answers by itself when it can't.
func (h *Handler) bind(c *gin.Context, into any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	if err := c.ShouldBindJSON(into); err != nil {
		h.fail(c, &intent.InvalidError{
			Reason: err.Error(),
		})
		return false
	}
	return true
}

func (h *Handler) fail(c *gin.Context, err error) {
	status, code := classify(err)
	if status >= http.StatusInternalServerError {
		h.log.Warn("operator's request failed", "path", c.Request.URL.Path, "error", err)
	}
	c.Header("Content-Type", entry.ProblemType)
	c.JSON(status, Problem{
		Type:   "urn:lemonstream:" + code,
		Title:  http.StatusText(status),
		Status: status,
		Detail: err.Error(),
		Code:   code,
	})
}

func (h *Handler) progress(plan *intent.Plan) PlanAnswer {
	answer := PlanAnswer{
		Plan:  *plan,
		Total: len(plan.Instances()),
	}
	view := h.watch.View()
	for _, id := range plan.Instances() {
		if plan.DoneWith(view, id) {
			answer.Done++
		}
	}
	return answer
}

// classify maps an error to a status and a code.
func classify(err error) (int, string) {
	var (
		invalid  *intent.InvalidError
		refusals *settings.Refusals
		never    *wave.InfeasibleError
		exceeded *budget.ExceededError
		changed  *intent.ChangedError
		shared   *intent.ConflictError
		digest   *intent.DigestError
		wrong    *intent.StateError
		missing  *control.NoPlanError
		raced    *store.ConflictError
		badJob   *work.InvalidError
		taken    *work.ExistsError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &refusals), errors.As(err, &badJob):
		return http.StatusBadRequest, CodeInvalid
	case errors.As(err, &never), errors.As(err, &exceeded):
		return http.StatusConflict, CodeBudget
	case errors.As(err, &changed):
		return http.StatusConflict, CodeChanged
	case errors.As(err, &shared), errors.As(err, &taken):
		return http.StatusConflict, CodeConflict
	case errors.As(err, &digest):
		return http.StatusConflict, CodeDigest
	case errors.As(err, &wrong):
		return http.StatusConflict, CodeState
	case errors.As(err, &missing):
		return http.StatusNotFound, CodeNoPlan
	case errors.As(err, &raced):
		return http.StatusConflict, CodeRaced
	case store.IsUnavailable(err):
		return http.StatusServiceUnavailable, CodeUnavailable
	default:
		return http.StatusInternalServerError, CodeInternal
	}
}

func memberAnswer(hello member.Hello, heard bool) MemberAnswer {
	return MemberAnswer{
		ID:        hello.ID,
		Operators: hello.Operators,
		Config:    hello.Config,
		Heard:     heard,
	}
}
