// Package engine contains the plug-in for model engines, whose token streams can be resumed, and the client for
// their state and orders.
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

func prepare(sc kernel.StageContext) model.StageCall {
	return model.StageCall{
		Model:     sc.Stage.Model,
		Adapter:   sc.Stage.Adapter,
		Text:      prompt(sc),
		Prefix:    sc.Request.Input.Prefix,
		MaxTokens: kernel.MaxTokens(sc.Request, sc.Stage),
	}
}

func prompt(sc kernel.StageContext) string {
	parts := append([]string{sc.Request.Input.Text}, sc.Previous.Items...)
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
