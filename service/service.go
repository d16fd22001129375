// Package service holds the plug-in for plain services: one call, which may be one that must
// not be repeated.
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
		ParseReply: accept,
		Check:      check,
	})
}

func prepare(w kernel.StageContext) model.StageCall {
	text := w.Carry.Output
	if text == "" {
		text = w.Request.Input.Text
	}
	return model.StageCall{
		Text:      text,
		Key:       w.Request.Key,
		Operation: w.Stage.Operation,
	}
}

func accept(w kernel.StageContext, r model.StageReply) (model.StageOutput, error) {
	if r.Text == "" {
		return w.Carry, errEmptyReply
	}
	carry := w.Carry
	carry.Output = r.Text
	return carry, nil
}

func check(s model.Stage) string {
	if s.Operation == "" {
		return "a Call stage needs an Operation"
	}
	return ""
}
