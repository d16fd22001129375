// Package engine holds the plug-in for model engines: streams of tokens that can be resumed.
package engine

import (
	"strings"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind:    model.Generate,
		Path:    "/generate",
		Streams: true,
		Prepare: prepare,
		Check:   check,
	})
}

func prepare(w kernel.StageContext) model.StageCall {
	return model.StageCall{
		Model:     w.Stage.Model,
		Adapter:   w.Stage.Adapter,
		Text:      prompt(w),
		Prefix:    w.Request.Input.Prefix,
		MaxTokens: kernel.MaxTokens(w.Request, w.Stage),
	}
}

func prompt(w kernel.StageContext) string {
	parts := append([]string{w.Request.Input.Text}, w.Carry.Items...)
	return strings.Join(parts, "\n")
}

func check(s model.Stage) string {
	if s.Model == "" {
		return "a Generate stage needs a Model"
	}
	if s.Operation != "" || s.NonIdempotent {
		return "only a Call stage has Operation or NonIdempotent"
	}
	return ""
}
