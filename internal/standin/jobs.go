package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// jobsPause is the time between two jobs, jobsRetry that between two tries of
	// one.
	jobsPause = 60 * time.Millisecond
	jobsRetry = 50 * time.Millisecond

	// jobsPatience is when an accepted job that has not ended counts as lost.
	jobsPatience = 60 * time.Second

	// jobsDeadline is what callers say that they wait for.
	jobsDeadline = 2500 * time.Millisecond

	stepPlain = `"cpu":500,"memMb":100,"estimateMs":120`
)

// Jobs hands jobs of each kind in at a site's entries and counts what became of
// them.
type Jobs struct {
	site   SiteFile
	client *http.Client
	counts JobCounts
}

// JobCounts are what the callers saw.
type JobCounts struct {
	// Jobs were accepted; Lost of them never ended, Wrong were answered against what
	// was accepted, and Cut lost an answer in the middle.
	Jobs  int
	Lost  int
	Wrong int
	Cut   int
}

// NewJobs returns callers for the site whose file stands in a folder.
func NewJobs(dir string) (*Jobs, error) {
	body, err := os.ReadFile(filepath.Join(dir, "site.json"))
	if err != nil {
		return nil, fmt.Errorf("reading the site's file: %w", err)
	}
	j := &Jobs{
		client: &http.Client{
			Timeout: 2 * jobsDeadline,
		},
	}
	if err := json.Unmarshal(body, &j.site); err != nil {
		return nil, fmt.Errorf("site's file: %w", err)
	}
	return j, nil
}

// Run hands in the given number of jobs, withdraws the lasting ones and waits for
// all to end.
func (j *Jobs) Run(ctx context.Context, count int) (JobCounts, SiteVerdict, error) {
	ids := make([]string, 0, count)
	for i := 0; i < count; i++ {
		id := fmt.Sprintf("%016x", i+1)
		if j.until(ctx, i, http.MethodPost, id, jobOf(i), accepted) {
			ids = append(ids, id)
			j.counts.Jobs++
		}
		time.Sleep(jobsPause)
	}
	for i, id := range ids {
		end := ended
		if isLasting(i) {
			j.until(ctx, i, http.MethodDelete, id, "", withdrawn)
			end = cancelled
		}
		if !j.until(ctx, i, http.MethodGet, id, "", end) {
			j.counts.Lost++
		}
	}
	verdict, err := j.verdict(ctx)
	return j.counts, verdict, err
}

// isLasting reports whether the job of a number is one that lasts.
func isLasting(number int) bool {
	return number%5 == 4
}

// jobOf returns the body of a job; each fifth number is of another kind.
func jobOf(number int) string {
	switch number % 5 {
	case 0:
		return `{"spec":"steps","steps":[{"count":3,` + stepPlain + `},{"count":2,"sinceRev":[0],` + stepPlain + `}]}`
	case 1:
		return `{"spec":"gang","steps":[{"count":3,"gang":true,` + stepPlain + `}]}`
	case 2:
		return `{"spec":"copies","steps":[{"count":2,"speculative":true,"checkpointing":true,"antiAffinity":1,` + stepPlain + `}]}`
	case 3:
		first := time.Now().Add(300 * time.Millisecond).UnixMilli()
		return fmt.Sprintf(`{"spec":"repeats","repeatCount":2,"firstRunMs":%d,"intervalMs":300,"steps":[{"count":2,%s}]}`, first, stepPlain)
	default:
		return `{"spec":"` + LastingText + `","steps":[{"count":2,"longRunning":true,"may_miss":1,` + stepPlain + `}]}`
	}
}

// until calls entry after entry until an answer is good; it reports false where
// that takes too long.
func (j *Jobs) until(ctx context.Context, first int, method, id, body string, good func(int, string) bool) bool {
	for end := time.Now().Add(jobsPatience); time.Now().Before(end) && ctx.Err() == nil; first++ {
		status, answer := j.call(ctx, j.site.Fronts[first%len(j.site.Fronts)], method, id, body)
		if good(status, answer) {
			return true
		}
		if method == http.MethodGet && status == http.StatusGone {
			j.counts.Wrong++
			return true
		}
		time.Sleep(jobsRetry)
	}
	return false
}

// call sends one request; status 0 means no answer.
func (j *Jobs) call(ctx context.Context, front, method, id, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "h.example"
	request.Header.Set("Deadline-Ms", fmt.Sprint(jobsDeadline.Milliseconds()))
	response, err := j.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		j.counts.Cut++
		return 0, ""
	}
	return response.StatusCode, string(answer)
}

func (j *Jobs) verdict(ctx context.Context) (SiteVerdict, error) {
	var verdict SiteVerdict
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+j.site.Store+"/control/verdict", http.NoBody)
	if err != nil {
		return verdict, fmt.Errorf("building the question: %w", err)
	}
	response, err := j.client.Do(request)
	if err != nil {
		return verdict, fmt.Errorf("asking the site: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&verdict); err != nil {
		return verdict, fmt.Errorf("the site's answer: %w", err)
	}
	return verdict, nil
}

func accepted(status int, _ string) bool {
	return status == http.StatusOK
}

func withdrawn(status int, _ string) bool {
	return status == http.StatusOK || status == http.StatusGone
}

func ended(status int, answer string) bool {
	return status == http.StatusOK && strings.Contains(answer, `"completed"`)
}

func cancelled(status int, answer string) bool {
	return status == http.StatusOK && strings.Contains(answer, `"cancelled"`)
}
