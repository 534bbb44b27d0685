package operator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

const testKey = "0123456789abcdef"

// fakeHandler replies with the values in the request and records requests.
type fakeHandler struct {
	submitted SubmitRequest
	drained   DrainRequest
	config    *structs.Config
}

func (f *fakeHandler) Submit(_ context.Context, r SubmitRequest) (SubmitReply, error) {
	f.submitted = r
	if found := configcheck.Check(&r.Set); len(found) > 0 {
		return SubmitReply{}, &Error{Code: CodeInvalid, Message: "invalid",
			Findings: []Finding{{Object: found[0].Object.String(), Field: found[0].Field, Problem: found[0].Problem}}}
	}
	return SubmitReply{Generation: r.Base + 1}, nil
}
func (f *fakeHandler) Check(context.Context, CheckRequest) (CheckReply, error) {
	return CheckReply{}, nil
}
func (f *fakeHandler) Config(context.Context) (*structs.Config, error) {
	if f.config == nil {
		return nil, &Error{Code: CodeNotFound, Message: "none"}
	}
	return f.config, nil
}
func (f *fakeHandler) Diff(_ context.Context, r DiffRequest) (DiffReply, error) {
	return DiffReply{From: r.From, To: r.To}, nil
}
func (f *fakeHandler) Status(context.Context) (StatusReply, error) {
	return StatusReply{}, errors.New("broken")
}
func (f *fakeHandler) Drain(_ context.Context, r DrainRequest) (DrainReply, error) {
	f.drained = r
	return DrainReply{VM: r.VM}, nil
}

func serve(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

func startServer(t *testing.T, f *fakeHandler) *Server {
	s, err := NewServer(Options{Addr: "127.0.0.1:0", Key: testKey, Timeout: 5 * time.Second, Handler: f})
	require.NoError(t, err)
	serve(t, s.Run)
	return s
}

// Requests and replies must arrive unchanged, errors must keep their codes, and
// findings must refer to lines of the submitted text.
func TestConfigAndFleetCalls(t *testing.T) {
	text, err := os.ReadFile("../../examples/lintang/fleet.ini")
	require.NoError(t, err)
	parsed, err := settings.ParseObjects("fleet.ini", text)
	require.NoError(t, err)
	f := &fakeHandler{}
	s := startServer(t, f)
	c, ctx := NewClient(s.Addr(), testKey), t.Context()

	_, err = c.Config(ctx)
	requireCode(t, CodeNotFound, err)
	reply, err := c.Submit(ctx, "id-00001", 41, "fleet.ini", text)
	require.NoError(t, err)
	require.Equal(t, SubmitReply{Generation: 42}, reply)
	require.Equal(t, SubmitRequest{ID: "id-00001", Base: 41, Set: parsed.Set}, f.submitted)

	_, err = c.Submit(ctx, "id-00002", 41, "f.ini", []byte("[pool a]\ntarget = 1\nmin = 2\n"))
	require.Equal(t, 3, requireCode(t, CodeInvalid, err).Findings[0].Line)
	_, err = c.Check(ctx, "f.ini", []byte("[pool a]\nmin = x\ntarget = 1\n"))
	require.Equal(t, 2, requireCode(t, CodeInvalid, err).Findings[0].Line)

	_, hash, err := rows.EncodeSet(&parsed.Set)
	require.NoError(t, err)
	f.config = &structs.Config{Generation: 42, Hash: hash, Set: parsed.Set}
	got, err := c.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, f.config, got)
	f.config = &structs.Config{Generation: 42, Hash: "00", Set: parsed.Set}
	_, err = c.Config(ctx)
	require.ErrorContains(t, err, "hash")

	diff, err := c.Diff(ctx, DiffRequest{From: 3, To: 4})
	require.NoError(t, err)
	require.Equal(t, uint64(4), diff.To)
	_, err = c.Drain(ctx, DrainRequest{VM: "vm-1", Reason: "fan"})
	require.NoError(t, err)
	require.Equal(t, DrainRequest{VM: "vm-1", Reason: "fan"}, f.drained)
	_, err = c.Drain(ctx, DrainRequest{})
	requireCode(t, CodeBadRequest, err)
	_, err = c.Status(ctx)
	requireCode(t, CodeInternal, err)
}

func requireCode(t *testing.T, code Code, err error) *Error {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, code, e.Code, e.Message)
	return e
}

// A call without the key must not reach the handler, whatever its path, and
// must not make the server read a large body.
func TestKeyAndLimits(t *testing.T) {
	s := startServer(t, &fakeHandler{})
	base := "http://" + s.Addr()
	for name, c := range map[string]struct {
		method, path, auth string
		body               int
		status             int
	}{
		"no key":             {"GET", "/v1/config", "", 0, 401},
		"wrong key":          {"GET", "/v1/config", "Bearer 0123456789abcdeF", 0, 401},
		"key without Bearer": {"GET", "/v1/config", testKey, 0, 401},
		"no such call":       {"DELETE", "/v1/config", "Bearer " + testKey, 0, 404},
		"bad base":           {"POST", "/v1/config?base=-1", "Bearer " + testKey, 1, 400},
		"large, no key":      {"POST", "/v1/config?base=1", "", 64 << 10, 413},
		"large, wrong key":   {"POST", "/v1/config?base=1", "Bearer x", 64 << 10, 413},
		"over the limit":     {"POST", "/v1/config?base=1", "Bearer " + testKey, settings.MaxObjectBytes + 1, 413},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(c.method, base+c.path, bytes.NewReader(make([]byte, c.body)))
			require.NoError(t, err)
			req.Header.Set("Authorization", c.auth)
			resp, err := http.DefaultClient.Do(req)
			if err != nil { // the server may close the connection before the whole body is sent
				require.Equal(t, 413, c.status, err)
				return
			}
			defer resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
	_, err := NewServer(Options{Addr: "127.0.0.1:0"})
	require.ErrorContains(t, err, "operator_key")
}

// A call that was not sent must fail with CodeUnavailable, not CodeUnknown, so
// that the operator knows that it had no effect.
func TestUnreachableServer(t *testing.T) {
	s, err := NewServer(Options{Addr: "127.0.0.1:0", Key: testKey})
	require.NoError(t, err)
	s.Close()
	_, err = NewClient(s.Addr(), testKey).Status(t.Context())
	requireCode(t, CodeUnavailable, err)
}

type fakeProcess struct{ ready error }

func (p *fakeProcess) Healthy() error                 { return nil }
func (p *fakeProcess) Ready() error                   { return p.ready }
func (p *fakeProcess) WriteMetrics(w io.Writer) error { _, err := io.WriteString(w, "{}"); return err }
func (p *fakeProcess) Version() any                   { return "v1" }
func (p *fakeProcess) Dump(context.Context, time.Duration) []duty.Report {
	return []duty.Report{{Name: "config", State: 7}}
}

// Every path of the admin server must report the state of its process, and the
// operators' API must not be served there.
func TestAdmin(t *testing.T) {
	a, err := NewAdmin("127.0.0.1:0", &fakeProcess{ready: errors.New("starting")}, hclog.NewNullLogger())
	require.NoError(t, err)
	serve(t, a.Run)
	c := NewClient(a.Addr(), "")
	for path, want := range map[string]string{
		"/healthz": "ok", "/metrics": "{}", "/dump": `[{"Name":"config","State":7}]`, "/version": `"v1"`,
	} {
		body, err := c.Admin(t.Context(), path)
		require.NoError(t, err)
		require.Equal(t, want, strings.TrimSpace(string(body)))
	}
	_, err = c.Admin(t.Context(), "/readyz")
	require.Equal(t, "starting", requireCode(t, CodeUnavailable, err).Message)
	_, err = c.Admin(t.Context(), "/v1/config")
	requireCode(t, CodeNotFound, err)
}
