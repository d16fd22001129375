// Package pool contains the plug-ins for pools of encoders, retrievers and rerankers, whose calls
// are unary and may be repeated.
package pool

import (
	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var errEmptyReply = errors.New("pool: empty reply")

func init() {
	kernel.Register(kernel.Plugin{
		Kind:       model.Encode,
		Path:       "/encode",
		Prepare:    prepareEncode,
		ParseReply: parseEncode,
		Check:      checkNoOperation,
	})
	kernel.Register(kernel.Plugin{
		Kind:       model.Retrieve,
		Path:       "/retrieve",
		Prepare:    prepareItems,
		ParseReply: parseItems,
		Check:      checkNoOperation,
	})
	kernel.Register(kernel.Plugin{
		Kind:       model.Rerank,
		Path:       "/rerank",
		Prepare:    prepareItems,
		ParseReply: parseItems,
		Check:      checkNoOperation,
	})
}

func prepareEncode(sc kernel.StageContext) model.StageCall {
	return model.StageCall{Text: sc.Request.Input.Text}
}

func parseEncode(sc kernel.StageContext, r model.StageReply) (model.StageOutput, error) {
	if r.Text == "" {
		return sc.Previous, errEmptyReply
	}
	output := sc.Previous
	output.Text = r.Text
	return output, nil
}

func prepareItems(sc kernel.StageContext) model.StageCall {
	return model.StageCall{Text: sc.Previous.Text, Items: sc.Previous.Items}
}

func parseItems(sc kernel.StageContext, r model.StageReply) (model.StageOutput, error) {
	if len(r.Items) == 0 {
		return sc.Previous, errEmptyReply
	}
	output := sc.Previous
	output.Items = r.Items
	return output, nil
}

func checkNoOperation(s model.Stage) string {
	if s.Operation != "" || s.NonIdempotent {
		return "only a Call stage has Operation or NonIdempotent"
	}
	return ""
}
