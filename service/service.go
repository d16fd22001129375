// Package service contains the plug-in for Call stages, which make a single call to a service. The
// call may be non-idempotent.
package service

import (
	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var errEmptyReply = errors.New("service: empty reply")

func init() {
	kernel.Register(kernel.Plugin{
		Kind:       model.Call,
		Path:       "/call",
		Prepare:    prepare,
		ParseReply: parseReply,
		Check:      check,
	})
}

func prepare(sc kernel.StageContext) model.StageCall {
	text := sc.Previous.Output
	if text == "" {
		text = sc.Request.Input.Text
	}
	return model.StageCall{
		Text:      text,
		Key:       sc.Request.Key,
		Operation: sc.Stage.Operation,
	}
}

func parseReply(sc kernel.StageContext, r model.StageReply) (model.StageOutput, error) {
	if r.Text == "" {
		return sc.Previous, errEmptyReply
	}
	output := sc.Previous
	output.Output = r.Text
	return output, nil
}

func check(s model.Stage) string {
	if s.Operation == "" {
		return "a Call stage needs an Operation"
	}
	return ""
}
