package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/settings"
)

const contentJSON = "application/json"

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, &Error{Code: CodeInternal, Message: fmt.Sprintf("encode reply: %v", err)})
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(data, '\n'))
}

func writeError(ctx *fasthttp.RequestCtx, e *Error) {
	status := statusOf[e.Code]
	data, err := json.Marshal(e)
	if err != nil || status == 0 {
		status, data = statusOf[CodeInternal], []byte(`{"Code":"internal"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(data, '\n'))
}

// parseSet reads an object set from the body. Problems of the text become
// findings with their lines.
func parseSet(ctx *fasthttp.RequestCtx) (*settings.ObjectFile, error) {
	file := string(ctx.QueryArgs().Peek("file"))
	if file == "" {
		file = "set"
	}
	f, err := settings.ParseObjects(file, ctx.PostBody())
	if err == nil {
		return f, nil
	}
	e := &Error{Code: CodeInvalid, Message: err.Error()}
	var problems *settings.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List {
			e.Findings = append(e.Findings, Finding{Object: p.Section, Field: p.Key, Line: p.Line,
				Problem: strings.TrimSpace(fmt.Sprintf("%s want %s", quoted(p.Value), p.Want))})
		}
	}
	return nil, e
}

func quoted(value string) string {
	if value == "" {
		return ""
	}
	return fmt.Sprintf("%q:", value)
}

// unsigned reads a query argument that is a generation.
func unsigned(ctx *fasthttp.RequestCtx, name string, required bool) (uint64, error) {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" && !required {
		return 0, nil
	}
	n, err := parseGeneration(text)
	if err != nil {
		return 0, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("%s=%q: want a generation", name, text)}
	}
	return n, nil
}
