// Package pool holds the plug-ins for the pools of encoders, retrievers and rerankers: unary
// calls that may be repeated.
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
		ParseReply: acceptEncode,
		Check:      checkNoOperation,
	})
	kernel.Register(kernel.Plugin{
		Kind:       model.Retrieve,
		Path:       "/retrieve",
		Prepare:    prepareItems,
		ParseReply: acceptItems,
		Check:      checkNoOperation,
	})
	kernel.Register(kernel.Plugin{
		Kind:       model.Rerank,
		Path:       "/rerank",
		Prepare:    prepareItems,
		ParseReply: acceptItems,
		Check:      checkNoOperation,
	})
}

func prepareEncode(w kernel.StageContext) model.StageCall {
	return model.StageCall{Text: w.Request.Input.Text}
}

func acceptEncode(w kernel.StageContext, r model.StageReply) (model.StageOutput, error) {
	if r.Text == "" {
		return w.Carry, errEmptyReply
	}
	carry := w.Carry
	carry.Text = r.Text
	return carry, nil
}

func prepareItems(w kernel.StageContext) model.StageCall {
	return model.StageCall{Text: w.Carry.Text, Items: w.Carry.Items}
}

func acceptItems(w kernel.StageContext, r model.StageReply) (model.StageOutput, error) {
	if len(r.Items) == 0 {
		return w.Carry, errEmptyReply
	}
	carry := w.Carry
	carry.Items = r.Items
	return carry, nil
}

func checkNoOperation(s model.Stage) string {
	if s.Operation != "" || s.NonIdempotent {
		return "only a Call stage has Operation or NonIdempotent"
	}
	return ""
}
