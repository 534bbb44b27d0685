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

// pathJobs is the path of all jobs; that of one job has its id after a slash.
const pathJobs = "/v1/jobs"

// maxJobBody bounds the body of a submission of a job in bytes.
const maxJobBody = 16 << 10

// JobReply is one job.
type JobReply struct {
	Job      structs.Job
	Repeated bool // the job existed, or it was cancelled or had ended before
}

// JobsRequest asks for jobs.
type JobsRequest struct {
	Team  string // empty: all teams
	After string // id of the last job of the page before
}

// JobsReply is a page of jobs in order of id.
type JobsReply struct {
	Jobs []structs.Job
	More bool // further jobs follow
}

// JobHandler answers the calls about jobs.
type JobHandler interface {
	// SubmitJob is idempotent by the job's id.
	SubmitJob(ctx context.Context, s structs.JobSpec) (JobReply, error)
	Job(ctx context.Context, id string) (JobReply, error)
	// CancelJob returns the job when the wish is recorded, not when it ended.
	CancelJob(ctx context.Context, id string) (JobReply, error)
	Jobs(ctx context.Context, r JobsRequest) (JobsReply, error)
}

// jobRoute returns the handler of a call about jobs, or nil.
func (s *Server) jobRoute(http *fasthttp.RequestCtx) route {
	h := s.opts.Jobs
	if h == nil {
		return nil
	}
	path, method := string(http.Path()), string(http.Method())
	id, one := strings.CutPrefix(path, pathJobs+"/")
	switch {
	case method == fasthttp.MethodPost && path == pathJobs:
		return s.submitJob
	case method == fasthttp.MethodGet && path == pathJobs:
		return func(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
			q := http.QueryArgs()
			return h.Jobs(ctx, JobsRequest{Team: string(q.Peek("team")), After: string(q.Peek("after"))})
		}
	case method == fasthttp.MethodGet && one && id != "":
		return func(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) { return h.Job(ctx, id) }
	case method == fasthttp.MethodDelete && one && id != "":
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

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, s structs.JobSpec) (JobReply, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return JobReply{}, err
	}
	return get[JobReply](ctx, c, fasthttp.MethodPost, pathJobs, nil, body)
}

// Job returns a job.
func (c *Client) Job(ctx context.Context, id string) (JobReply, error) {
	return get[JobReply](ctx, c, fasthttp.MethodGet, pathJobs+"/"+url.PathEscape(id), nil, nil)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id string) (JobReply, error) {
	return get[JobReply](ctx, c, fasthttp.MethodDelete, pathJobs+"/"+url.PathEscape(id), nil, nil)
}

// Jobs returns a page of jobs.
func (c *Client) Jobs(ctx context.Context, r JobsRequest) (JobsReply, error) {
	return get[JobsReply](ctx, c, fasthttp.MethodGet, pathJobs, url.Values{"team": {r.Team}, "after": {r.After}}, nil)
}
