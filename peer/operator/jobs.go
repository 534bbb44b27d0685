package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/structs"
)

// jobsPath is the path of all jobs. The path of one job is this path, a slash
// and the job's id.
const jobsPath = "/v1/jobs"

// maxJobBody limits the body of a job submission in bytes.
const maxJobBody = 16 << 10

// JobReply describes one job.
type JobReply struct {
	Job      structs.Job
	Repeated bool // the job already existed, or had already been cancelled or ended
}

// JobsRequest asks for a page of jobs.
type JobsRequest struct {
	Team  string // empty means all teams
	After string // id of the last job of the previous page
}

// JobsReply is a page of jobs, ordered by id.
type JobsReply struct {
	Jobs []structs.Job
	More bool // more jobs follow on the next page
}

// JobHandler handles calls about jobs.
type JobHandler interface {
	// SubmitJob is idempotent. A retry is recognized by the job's id.
	SubmitJob(ctx context.Context, s structs.JobSpec) (JobReply, error)
	Job(ctx context.Context, id string) (JobReply, error)
	// CancelJob returns once the cancellation is recorded. The job may end
	// later.
	CancelJob(ctx context.Context, id string) (JobReply, error)
	Jobs(ctx context.Context, r JobsRequest) (JobsReply, error)
}

// jobRouteHandler returns the handler of a call about jobs, or nil.
func (s *Server) jobRouteHandler(http *fasthttp.RequestCtx) routeHandler {
	h := s.opts.Jobs
	if h == nil {
		return nil
	}
	path, method := string(http.Path()), string(http.Method())
	id, hasID := strings.CutPrefix(path, jobsPath+"/")
	switch {
	case method == fasthttp.MethodPost && path == jobsPath:
		return s.submitJob
	case method == fasthttp.MethodGet && path == jobsPath:
		return func(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
			q := http.QueryArgs()
			return h.Jobs(ctx, JobsRequest{Team: string(q.Peek("team")), After: string(q.Peek("after"))})
		}
	case method == fasthttp.MethodGet && hasID && id != "":
		return func(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) { return h.Job(ctx, id) }
	case method == fasthttp.MethodDelete && hasID && id != "":
		return func(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) { return h.CancelJob(ctx, id) }
	}
	return nil
}

func (s *Server) submitJob(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
	if len(http.PostBody()) > maxJobBody {
		return nil, &Error{Code: CodeTooLarge, Message: "the job is larger than 16 KiB"}
	}
	var spec structs.JobSpec
	d := json.NewDecoder(bytes.NewReader(http.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(&spec); err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: "want a job as a JSON object: " + err.Error()}
	}
	return s.opts.Jobs.SubmitJob(ctx, spec)
}

// SubmitJob submits a job. It may be retried with the same job id.
func (c *Client) SubmitJob(ctx context.Context, s structs.JobSpec) (JobReply, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return JobReply{}, err
	}
	return callWithReply[JobReply](ctx, c, fasthttp.MethodPost, jobsPath, nil, body)
}

// Job returns a job.
func (c *Client) Job(ctx context.Context, id string) (JobReply, error) {
	return callWithReply[JobReply](ctx, c, fasthttp.MethodGet, jobsPath+"/"+url.PathEscape(id), nil, nil)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id string) (JobReply, error) {
	return callWithReply[JobReply](ctx, c, fasthttp.MethodDelete, jobsPath+"/"+url.PathEscape(id), nil, nil)
}

// Jobs returns a page of jobs.
func (c *Client) Jobs(ctx context.Context, r JobsRequest) (JobsReply, error) {
	return callWithReply[JobsReply](ctx, c, fasthttp.MethodGet, jobsPath, url.Values{"team": {r.Team}, "after": {r.After}}, nil)
}
