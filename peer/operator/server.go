package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

// maxUnauthorizedBody limits the body of a call without the key, in bytes, so
// that such a call cannot make the server read a whole object set.
const maxUnauthorizedBody = 1 << 10

// Options configures NewServer. All fields but Jobs are required.
type Options struct {
	Addr    string // IP:port
	Key     string // required in every call
	Timeout time.Duration
	Handler Handler
	Jobs    JobHandler   // if nil, calls about jobs fail with CodeNotFound
	Log     hclog.Logger // nil: nothing is logged
}

// Server is the HTTP server of the operators' API.
type Server struct {
	*httpServer
	opts   Options
	key    [sha256.Size]byte
	routes map[string]routeHandler
}

// routeHandler handles a call and returns its reply. It returns nil if it has
// written the response itself.
type routeHandler func(ctx context.Context, http *fasthttp.RequestCtx) (any, error)

// NewServer opens a listener on the address. Run serves calls.
func NewServer(o Options) (*Server, error) {
	if o.Key == "" {
		return nil, errors.New("operators' API: the key is empty; set operator_key in [controller]")
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	s := &Server{opts: o, key: sha256.Sum256([]byte(o.Key))}
	s.routes = map[string]routeHandler{
		"POST /v1/config": s.submit,
		"POST /v1/check":  s.check,
		"GET /v1/config":  s.config,
		"GET /v1/diff":    s.diff,
		"GET /v1/status":  s.status,
		"POST /v1/drain":  s.drain,
	}
	srv, err := listen(o.Addr, settings.MaxObjectBytes, o.Log, s.serve)
	if err != nil {
		return nil, err
	}
	srv.server.HeaderReceived = s.limitUnauthorizedBody
	s.httpServer = srv
	return s, nil
}

func (s *Server) limitUnauthorizedBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if s.authorized(h) {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: maxUnauthorizedBody}
}

// authorized reports whether the call carries the key. It compares hashes in
// constant time, so that the time reveals neither the content nor the length
// of the key.
func (s *Server) authorized(h *fasthttp.RequestHeader) bool {
	key, found := strings.CutPrefix(string(h.Peek("Authorization")), "Bearer ")
	got := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(got[:], s.key[:]) == 1 && found
}

func (s *Server) serve(http *fasthttp.RequestCtx) {
	if !s.authorized(&http.Request.Header) {
		writeError(http, &Error{Code: CodeUnauthorized, Message: "the call does not carry the operators' key"})
		return
	}
	handle := s.routes[string(http.Method())+" "+string(http.Path())]
	if handle == nil {
		handle = s.jobRouteHandler(http)
	}
	if handle == nil {
		writeError(http, &Error{Code: CodeNotFound, Message: "no such call: " + string(http.Method()) + " " + string(http.Path())})
		return
	}
	// The context does not end with the connection, so that a submission in
	// progress is finished even if its operator disconnects.
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Timeout)
	defer cancel()
	reply, err := handle(ctx, http)
	if err != nil {
		writeError(http, toError(err))
		return
	}
	if reply != nil {
		writeJSON(http, reply)
	}
}

func (s *Server) submit(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
	base, err := generationArg(http, "base", true)
	if err != nil {
		return nil, err
	}
	f, err := parseSet(http)
	if err != nil {
		return nil, err
	}
	reply, err := s.opts.Handler.Submit(ctx, SubmitRequest{ID: string(http.QueryArgs().Peek("id")), Base: base, Set: f.Set})
	var e *Error
	if errors.As(err, &e) {
		setFindingLines(f, e.Findings)
	}
	return reply, err
}

func (s *Server) check(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
	f, err := parseSet(http)
	if err != nil {
		return nil, err
	}
	reply, err := s.opts.Handler.Check(ctx, CheckRequest{Set: f.Set})
	setFindingLines(f, reply.Findings)
	return reply, err
}

// setFindingLines sets the line numbers of findings.
func setFindingLines(f *settings.ObjectFile, findings []Finding) {
	for i := range findings {
		kind, name, _ := strings.Cut(findings[i].Object, " ")
		findings[i].Line = f.Line(structs.Ref{Kind: structs.Kind(kind), Name: name}, findings[i].Field)
	}
}

// config replies with JSON, or on request with INI text and the generation in
// a header.
func (s *Server) config(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
	c, err := s.opts.Handler.Config(ctx)
	if err != nil || string(http.QueryArgs().Peek("format")) != "ini" {
		return c, err
	}
	text, err := settings.FormatObjects(&c.Set)
	if err != nil {
		return nil, err
	}
	http.Response.Header.Set("X-Generation", strconv.FormatUint(c.Generation, 10))
	http.SetContentType("text/plain; charset=utf-8")
	http.SetBody(text)
	return nil, nil
}

func (s *Server) diff(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
	from, err := generationArg(http, "from", true)
	if err != nil {
		return nil, err
	}
	to, err := generationArg(http, "to", false)
	if err != nil {
		return nil, err
	}
	return s.opts.Handler.Diff(ctx, DiffRequest{From: from, To: to})
}

func (s *Server) status(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	return s.opts.Handler.Status(ctx)
}

func (s *Server) drain(ctx context.Context, http *fasthttp.RequestCtx) (any, error) {
	var r DrainRequest
	if err := json.Unmarshal(http.PostBody(), &r); err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: "want a JSON object with VM and Reason: " + err.Error()}
	}
	if r.VM == "" {
		return nil, &Error{Code: CodeBadRequest, Message: "VM is empty"}
	}
	return s.opts.Handler.Drain(ctx, r)
}

func parseGeneration(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) }
