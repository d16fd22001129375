package relay

import (
	"context"
	"sync"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

type (
	// stageRun is the results of a request's stages and what becomes of them.
	stageRun struct {
		relay *Relay
		plan  kernel.StagePlan
		// inputs are what the engine needs; domain is where the prompt's prefix is cached.
		inputs       []string
		prefixDomain string

		stages  []model.StageNode
		regions kernel.AllowedRegions
		// results has an entry for each stage that is done. It, started and released belong to the
		// goroutine that serves the request.
		results map[int][]kernel.ResultRef
		started map[int]bool
		// released is true once the engine's inputs were given up.
		inputsReleased bool

		mu sync.Mutex
		// held lists, by stage, the results that are still held.
		held map[int][]kernel.ResultRef
	}

	// stageResult is how one stage ended.
	stageResult struct {
		stage   int
		results []kernel.ResultRef
		// inputsFreed is true where the batcher freed what the stage was made from.
		inputsFreed bool
		refusal     *model.Refusal
		time        StageTiming
	}
)

// runStages carries out all stages of a request. A stage starts when all that it follows are
// done; the first failure ends them all. The results must be released.
func (j *job) runStages(ctx context.Context, p *pool) (*stageRun, *model.Refusal) {
	run, refusal := j.planStages(ctx, p)
	if refusal != nil || len(run.plan.FinalStages) == 0 {
		return run, refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan stageResult, len(run.stages))
	running := j.startStages(ctx, run, done)
	for running > 0 {
		d := <-done
		running--
		j.stageTimes = append(j.stageTimes, d.time)
		run.holdResults(d.stage, d.results)
		if d.inputsFreed {
			run.forgetInputs(d.stage)
		}
		if d.refusal != nil {
			cancel()
			go run.drain(done, running)
			return run, d.refusal
		}
		run.results[d.stage] = d.results
		run.releaseConsumed()
		running += j.startStages(ctx, run, done)
	}
	run.collectInputs()
	return run, nil
}

// planStages plans a request's stages, and refuses it where they can't be done in time.
func (j *job) planStages(ctx context.Context, p *pool) (*stageRun, *model.Refusal) {
	r := j.relay
	run := &stageRun{
		relay:        r,
		stages:       j.admission.Route.Stages,
		regions:      j.admission.Regions,
		prefixDomain: kernel.AffinityDomain(kernel.AffinityKey(j.forward.Prompt), j.admission.Regions.AllowedEndpoints(r.Registry().Endpoints(p.name))),
		results:      map[int][]kernel.ResultRef{},
		started:      map[int]bool{},
		held:         map[int][]kernel.ResultRef{},
	}
	firstEvent := p.estimateFirstEventTime()
	run.plan = kernel.PlanStages(j.forward, j.admission, r.batchers.poolTraits(run.stages), firstEvent)
	if len(run.plan.FinalStages) == 0 {
		return run, nil
	}
	groups := map[int]batchRequest{}
	for i := range run.stages {
		if kernel.PieceCount(j.forward, i) > 0 {
			groups[i] = j.newPieceGroup(run, i)
		}
	}
	estimates := r.estimateWaits(ctx, run.stages, groups)
	for i, o := range estimates {
		if kernel.PieceCount(j.forward, i) > 0 {
			j.estimates = append(j.estimates, StageEstimate{Pool: run.stages[i].Pool, Wait: o.Wait, RoomTaken: o.RoomTaken})
		}
	}
	if anyQueued(estimates) && r.options.Policy.Uses(kernel.ObjectiveFromFirstAttempt) {
		j.forward = j.forward.WithWaited(r.previousWait(ctx, j.forward, j.admission))
	}
	run.plan = kernel.PlanStages(j.forward, j.admission, estimates, firstEvent)
	return run, kernel.AdmitStages(r.now(), j.forward, j.admission, run.plan, estimates)
}

// queue names the queue of a stage's pieces: that of a region that the request may be served in.
func (s *stageRun) queueName(stage int) string {
	options := s.relay.options
	pool := s.stages[stage].Pool
	region, _ := kernel.PieceRegion(s.relay.Registry(), pool, s.regions, options.Regions[options.Domain])
	return s.relay.batchers.queueName(pool, region)
}

// queued tells whether any of several pools has a queue: only then does it matter who is late.
func anyQueued(estimates []kernel.PoolEstimate) bool {
	for _, o := range estimates {
		if o.Queued() {
			return true
		}
	}
	return false
}

// startStages starts the stages that are ready, and returns how many.
func (j *job) startStages(ctx context.Context, run *stageRun, done chan<- stageResult) int {
	running := 0
	for i := range run.stages {
		if run.started[i] || !run.ready(i) {
			continue
		}
		run.started[i] = true
		if kernel.PieceCount(j.forward, i) == 0 {
			run.results[i] = nil
			continue
		}
		running++
		group := j.newPieceGroup(run, i)
		go func() {
			defer j.relay.recoverPanic(func() {
				done <- stageResult{stage: i, refusal: model.NewRefusal(model.NotRun, model.StageFailed, kernel.ClampRetryAfter(0), "the stage failed")}
			})
			done <- j.runStage(ctx, i, group)
		}()
	}
	return running
}

// collectInputs lists the results that the engine needs.
func (s *stageRun) collectInputs() {
	var last []kernel.ResultRef
	for _, i := range s.plan.FinalStages {
		last = append(last, s.results[i]...)
	}
	for _, m := range last {
		s.inputs = append(s.inputs, m.Handle)
	}
}

// stale tells whether one of the engine's inputs went with an incarnation of its worker.
func (s *stageRun) inputsStale() bool {
	for _, i := range s.plan.FinalStages {
		if kernel.AnyStale(s.results[i], s.relay.Registry().Superseded) {
			return true
		}
	}
	return false
}

// ready tells whether all stages that one follows are done.
func (s *stageRun) ready(stage int) bool {
	for _, before := range s.stages[stage].After {
		if _, ok := s.results[before]; !ok {
			return false
		}
	}
	return true
}

// group prepares the pieces of a stage.
func (j *job) newPieceGroup(run *stageRun, stage int) batchRequest {
	node := j.admission.Route.Stages[stage]
	g := batchRequest{
		pool:        run.queueName(stage),
		domain:      run.prefixDomain,
		resultBytes: node.ResultBytes,
		askedAt:     j.relay.now(),
		due:         run.plan.Due[stage],
		until:       run.plan.Until[stage],
		rank:        j.admission.Rank,
	}
	var inputBytes int64
	piece := model.Piece{Request: j.forward.ID, Digest: j.forward.Digest, Stage: stage, Deadline: run.plan.Until[stage]}
	if len(node.After) == 0 {
		piece.Key = j.forward.PieceKey
	}
	var inputs []kernel.ResultRef
	for _, before := range node.After {
		inputs = append(inputs, run.results[before]...)
		inputBytes += int64(len(run.results[before])) * j.admission.Route.Stages[before].ResultBytes
	}
	piece.Inputs = resultHandles(inputs)
	g.inputs = inputs
	g.freeInputs = run.isSoleConsumer(stage) && j.inputRoomScarce(run, stage)
	if domain := kernel.MostCommonDomain(inputs); domain != "" {
		g.domain = domain
	}
	pieces := kernel.PieceCount(j.forward, stage)
	// Each piece fetches all inputs; without inputs, the results are what is moved later.
	moved := inputBytes * int64(pieces)
	if len(inputs) == 0 {
		moved = node.ResultBytes * int64(pieces)
	}
	full := j.relay.batchers.lastEstimate(run.queueName(stage)).FullCall()
	g.localityWait = kernel.LocalityWait(moved, full, g.due.Sub(j.relay.now())-full)
	for n := range pieces {
		piece.Number = n
		g.pieces = append(g.pieces, piece)
	}
	return g
}

func (j *job) runStage(ctx context.Context, stage int, group batchRequest) stageResult {
	began := j.relay.now()
	done := j.relay.runGroup(ctx, group)
	done.stage = stage
	done.time.Stage = stage
	done.time.Pool = group.pool
	done.time.Elapsed = j.relay.now().Sub(began)
	return done
}
