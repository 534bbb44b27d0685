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
	status := httpStatus[e.Code]
	data, err := json.Marshal(e)
	if err != nil || status == 0 {
		status, data = httpStatus[CodeInternal], []byte(`{"Code":"internal"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(data, '\n'))
}

// parseSet parses the object set in the body. Syntax problems are returned as
// findings with line numbers, in an *Error.
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
				Problem: strings.TrimSpace(fmt.Sprintf("%s want %s", quotedPrefix(p.Value), p.Want))})
		}
	}
	return nil, e
}

// quotedPrefix returns the quoted value and a colon, or nothing for no value.
func quotedPrefix(value string) string {
	if value == "" {
		return ""
	}
	return fmt.Sprintf("%q:", value)
}

// generationArg parses the query argument name as a generation. If it is missing
// and not required, the result is 0.
func generationArg(ctx *fasthttp.RequestCtx, name string, required bool) (uint64, error) {
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
