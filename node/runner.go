package node

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// progress is how far a request has been processed.
type progress struct {
	stages []model.StageTiming
	// mayHaveRun is true once an endpoint may have received a call.
	mayHaveRun bool
	// nonIdempotentSent is true once the service may have received the non-idempotent call.
	nonIdempotentSent bool
}

// runPipeline runs all stages of a request's pipeline. The verdict of a refusal is NotRun only if no endpoint can have
// received a call.
func (n *Node) runPipeline(ctx context.Context, req model.Request, pipeline model.Pipeline, emit func(model.Token)) (model.Answer, progress, *model.Refusal) {
	var p progress
	if refusal := n.admitWhileDraining(time.Now(), req, emit != nil); refusal != nil {
		return model.Answer{}, p, refusal
	}
	if refusal := n.admit(ctx, time.Now(), req, pipeline); refusal != nil {
		return model.Answer{}, p, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	digests, sentAt := req.Digests(pipeline.Pools()...), time.Now()
	trial, refusal := n.quarantine.Admit(ctx, digests)
	if refusal != nil {
		return model.Answer{}, p, refusal
	}
	customer, _ := n.Settings().Customer(req.Team, req.Customer)
	var output model.StageOutput
	for i, stage := range pipeline.Stages {
		job := dispatch.Job{
			Work:        kernel.StageContext{Request: req, Stage: stage, Previous: output},
			LaterStages: n.dispatcher.Estimates(req, customer.Weight, pipeline.Stages[i+1:]),
			Weight:      customer.Weight,
			Trial:       trial,
		}
		job.Plugin, _ = kernel.PluginFor(stage.Kind)
		if i == len(pipeline.Stages)-1 {
			job.Emit = emit
		}
		result, err := n.runStage(ctx, job)
		result.Timing.Stage = stage.Name
		p.stages = append(p.stages, result.Timing)
		n.metrics.AddStageUsage(req.Account(), result.Timing, stage.Pool)
		if err != nil {
			p = p.afterFailure(stage, err)
			if trial && !p.mayHaveRun {
				n.quarantine.CancelTrial(digests)
			}
			return model.Answer{}, p, p.refusal(err)
		}
		p.mayHaveRun = true
		p.nonIdempotentSent = p.nonIdempotentSent || stage.NonIdempotent
		output = result.Output
	}
	if p.retried() {
		// An endpoint may have crashed before another one answered.
		sentAt = time.Time{}
	}
	n.quarantine.RecordAnswer(digests, sentAt)
	return n.newAnswer(req, output, p), p, nil
}

// afterFailure returns the progress after a stage failed with err.
func (p progress) afterFailure(stage model.Stage, err error) progress {
	if model.AsRefusal(err).Verdict == model.NotRun {
		return p
	}
	p.mayHaveRun = true
	p.nonIdempotentSent = p.nonIdempotentSent || stage.NonIdempotent
	return p
}

// retried reports whether a stage needed more than one call.
func (p progress) retried() bool {
	return slices.ContainsFunc(p.stages, func(s model.StageTiming) bool { return s.Attempts > 1 })
}

// refusal returns the refusal of a failed stage with the verdict for the whole request.
func (p progress) refusal(err error) *model.Refusal {
	refusal := model.AsRefusal(err)
	if p.mayHaveRun {
		return refusal.WithVerdict(model.MayHaveRun)
	}
	return refusal
}

func (n *Node) newAnswer(req model.Request, output model.StageOutput, p progress) model.Answer {
	return model.Answer{
		ID:       req.ID,
		Pipeline: req.Pipeline,
		Verdict:  model.Ran,
		Output:   output.Output,
		Tokens:   output.Tokens,
		Checksum: strconv.FormatUint(xxhash.Sum64String(output.Output), 16),
		Stages:   p.stages,
		RanOn:    n.options.Name,
	}
}

// admit refuses a request that exceeds its customer's rate or cannot finish before its deadline. With the baseline
// policies (config.Options.Plain), it only refuses a request whose deadline has passed.
func (n *Node) admit(ctx context.Context, now time.Time, req model.Request, pipeline model.Pipeline) *model.Refusal {
	if !now.Before(req.Deadline) {
		return model.NewRefusal(model.NotRun, model.DeadlinePassed, 0, "the deadline has passed")
	}
	if n.options.Plain {
		return nil
	}
	if refusal := n.admitRate(ctx, now, req); refusal != nil {
		return refusal
	}
	customer, _ := n.Settings().Customer(req.Team, req.Customer)
	ok, retryAfter := kernel.CanFinish(now, req.Deadline, n.dispatcher.Estimates(req, customer.Weight, pipeline.Stages))
	if !ok {
		return model.NewRefusal(model.NotRun, model.CannotFinish, retryAfter, "the deadline is too near for the present load")
	}
	return nil
}
