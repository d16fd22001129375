package relay

import (
	"context"
	"sync"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

type (
	// stageRun is the state of a request's stages and of their results.
	stageRun struct {
		relay *Relay
		plan  kernel.StagePlan
		// inputs are the handles of the results that the engine needs.
		inputs []string
		// prefixDomain is the failure domain of the engine that is likely to have the prompt's prefix cached.
		prefixDomain string

		stages  []model.StageNode
		regions kernel.AllowedRegions
		// results has an entry for each stage that is done. Only the goroutine that serves the request uses results,
		// started and inputsReleased.
		results map[int][]kernel.ResultRef
		started map[int]bool
		// inputsReleased is true once the engine's inputs have been freed.
		inputsReleased bool

		mu sync.Mutex
		// held has, by stage, the results that have not been freed.
		held map[int][]kernel.ResultRef
	}

	// stageResult is the result of one stage.
	stageResult struct {
		stage   int
		results []kernel.ResultRef
		// inputsFreed is true if the batcher has freed the inputs of the stage.
		inputsFreed bool
		refusal     *model.Refusal
		timing      StageTiming
	}
)

// runStages runs all stages of a request. A stage starts once all stages that it depends on are done; the first failure
// cancels all others. The caller must release the stageRun, also after a refusal.
func (j *job) runStages(ctx context.Context, p *pool) (*stageRun, *model.Refusal) {
	if refusal := kernel.RefuseUnmakable(j.relay.now(), j.forward, j.admission, j.stageWorkers()); refusal != nil {
		return &stageRun{relay: j.relay}, refusal
	}
	freePieces, refusal := j.holdPieces(ctx)
	if refusal != nil {
		return &stageRun{relay: j.relay}, refusal
	}
	defer freePieces()
	run, refusal := j.planStages(ctx, p)
	if refusal != nil || len(run.plan.FinalStages) == 0 {
		return run, refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan stageResult, len(run.stages))
	running := j.startStages(ctx, run, finished)
	for running > 0 {
		result := <-finished
		running--
		if result.refusal == nil {
			// No further piece is made for a request that is held back meanwhile.
			result.refusal = j.checkQuarantine(false)
		}
		j.stageTimings = append(j.stageTimings, result.timing)
		run.holdResults(result.stage, result.results)
		if result.inputsFreed {
			run.forgetInputs(result.stage)
		}
		if result.refusal != nil {
			cancel()
			go run.drain(finished, running)
			return run, result.refusal
		}
		run.results[result.stage] = result.results
		run.releaseConsumed()
		running += j.startStages(ctx, run, finished)
	}
	run.collectInputs()
	return run, nil
}

// stageWorkers returns the workers of each stage that may make the pieces of the request.
func (j *job) stageWorkers() []kernel.StageWorkers {
	registry, stages := j.relay.Registry(), j.admission.Route.Stages
	out := make([]kernel.StageWorkers, len(stages))
	for i, e := range j.relay.batchers.poolTraits(stages) {
		out[i].Traits = e.Traits
		for _, worker := range j.admission.Regions.AllowedEndpoints(registry.Endpoints(stages[i].Pool)) {
			if worker.TakesWork() {
				out[i].Count++
			}
		}
	}
	return out
}

// holdPieces counts what the node is to hold for the pieces of the request, or refuses it. The returned function frees what is not needed
// once they are made.
func (j *job) holdPieces(ctx context.Context) (free func(), refusal *model.Refusal) {
	held := j.responder.Held
	making, made := kernel.PieceBytes(j.forward, j.admission.Route.Stages)
	if held.ReserveRequest == nil || making == 0 {
		return func() {}, nil
	}
	if held.ReserveRequest(ctx, making) != nil {
		return nil, refuseFull()
	}
	return func() { held.FreeRequest(making - made) }, nil
}

// planStages plans a request's stages. It refuses the request if they can't be done in time.
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
	waitKnown := r.statesContention(j.admission.Pool) && run.anyReportedQueue() && r.options.Policy.Uses(kernel.ObjectiveFromFirstAttempt)
	if waitKnown {
		// The batchers count a retry as one with its first attempt, and estimate its wait by when that was due.
		j.applyPreviousWait(ctx)
	}
	run.plan = kernel.PlanStages(j.forward, j.admission, r.batchers.poolTraits(run.stages), firstEvent)
	if len(run.plan.FinalStages) == 0 {
		return run, nil
	}
	engineEstimate := j.estimateFirstEvent(ctx, p)
	requests := map[int]batchRequest{}
	for i := range run.stages {
		if kernel.PieceCount(j.forward, i) > 0 {
			requests[i] = j.newBatchRequest(run, i)
		}
	}
	estimates := r.estimateWaits(ctx, run.stages, requests)
	for i, e := range estimates {
		if kernel.PieceCount(j.forward, i) > 0 {
			j.estimates = append(j.estimates, StageEstimate{Pool: run.stages[i].Pool, Wait: e.Wait, RoomTaken: e.RoomTaken, Shares: e.Shares})
		}
	}
	if !waitKnown && anyQueued(estimates) && r.options.Policy.Uses(kernel.ObjectiveFromFirstAttempt) {
		j.applyPreviousWait(ctx)
	}
	engine := <-engineEstimate
	if engine.domain != "" {
		run.prefixDomain = engine.domain
	}
	run.plan = kernel.PlanStages(j.forward, j.admission, estimates, engine.expected)
	if refusal := kernel.AdmitStages(r.now(), j.forward, j.admission, run.plan, estimates); refusal != nil {
		return run, refusal
	}
	return run, kernel.RefuseEarlyRetry(estimates, j.earlyBy)
}

// applyPreviousWait has the objective of a retried request count from its first attempt.
func (j *job) applyPreviousWait(ctx context.Context) {
	previous := j.relay.previousWait(ctx, j.forward, j.admission)
	j.forward = j.forward.WithWaited(previous.Waited)
	j.earlyBy = previous.EarlyBy
}

// queueName returns the name of the queue of a stage's pieces: the pool's queue in a region that may serve the request.
func (s *stageRun) queueName(stage int) string {
	options := s.relay.options
	pool := s.stages[stage].Pool
	region, _ := kernel.PieceRegion(s.relay.Registry(), pool, s.regions, options.Regions[options.Domain])
	return s.relay.batchers.queueName(pool, region)
}

// anyReportedQueue reports whether one of the pools had a queue, or was ordered by shares, by the last report of its batcher.
func (s *stageRun) anyReportedQueue() bool {
	for i := range s.stages {
		if last := s.relay.batchers.lastEstimate(s.queueName(i)); last.Queued() || last.Shares.Applies {
			return true
		}
	}
	return false
}

// anyQueued reports whether one of the pools has a queue. Without a queue, how long a request has waited before makes
// no difference.
func anyQueued(estimates []kernel.PoolEstimate) bool {
	for _, estimate := range estimates {
		if estimate.Queued() {
			return true
		}
	}
	return false
}

// startStages starts the stages that are ready and returns their number. Each sends its result to finished.
func (j *job) startStages(ctx context.Context, run *stageRun, finished chan<- stageResult) int {
	run.skipOmitted(j.forward)
	running := 0
	for i := range run.stages {
		if run.started[i] || !run.ready(i) {
			continue
		}
		run.started[i] = true
		running++
		req := j.newBatchRequest(run, i)
		go func() {
			defer j.relay.recoverPanic(func() {
				finished <- stageResult{stage: i, refusal: model.NewRefusal(model.NotRun, model.StageFailed, kernel.ClampRetryAfter(0), "the stage failed")}
			})
			finished <- j.runStage(ctx, i, req)
		}()
	}
	return running
}

// skipOmitted completes the stages without pieces that are ready, also those that are so once another one is skipped.
func (s *stageRun) skipOmitted(f model.Forward) {
	for skipped := true; skipped; {
		skipped = false
		for i := range s.stages {
			if !s.started[i] && kernel.PieceCount(f, i) == 0 && s.ready(i) {
				s.started[i], s.results[i] = true, nil
				skipped = true
			}
		}
	}
}

// collectInputs sets inputs to the results of the final stages.
func (s *stageRun) collectInputs() {
	var refs []kernel.ResultRef
	for _, i := range s.plan.FinalStages {
		refs = append(refs, s.results[i]...)
	}
	for _, ref := range refs {
		s.inputs = append(s.inputs, ref.Handle)
	}
}

// inputsStale reports whether one of the engine's inputs was lost because the worker that held it has restarted.
func (s *stageRun) inputsStale() bool {
	for _, i := range s.plan.FinalStages {
		if kernel.AnyStale(s.results[i], s.relay.Registry().Superseded) {
			return true
		}
	}
	return false
}

// ready reports whether all stages that a stage depends on are done.
func (s *stageRun) ready(stage int) bool {
	for _, before := range s.stages[stage].After {
		if _, ok := s.results[before]; !ok {
			return false
		}
	}
	return true
}

// newBatchRequest returns the request for the pieces of a stage.
func (j *job) newBatchRequest(run *stageRun, stage int) batchRequest {
	node := j.admission.Route.Stages[stage]
	req := batchRequest{
		pool:        run.queueName(stage),
		domain:      run.prefixDomain,
		resultBytes: node.ResultBytes,
		firstSentAt: j.relay.now(),
		due:         run.plan.Due[stage],
		until:       run.plan.Until[stage],
		rank:        j.admission.Rank,
		shared:      j.relay.statesContention(j.admission.Pool),
		customer:    j.admission.Customer,
		waited:      j.forward.Waited,
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
	req.inputs = inputs
	req.freeInputs = run.isSoleConsumer(stage) && j.inputRoomScarce(run, stage)
	if domain := kernel.MostCommonDomain(inputs); domain != "" {
		req.domain = domain
	}
	pieces := kernel.PieceCount(j.forward, stage)
	// Each piece fetches all inputs. Without inputs, only the results are transferred, later.
	transferBytes := inputBytes * int64(pieces)
	if len(inputs) == 0 {
		transferBytes = node.ResultBytes * int64(pieces)
	}
	fullCall := j.relay.batchers.lastEstimate(run.queueName(stage)).FullCall()
	req.localityWait = kernel.LocalityWait(transferBytes, fullCall, req.due.Sub(j.relay.now())-fullCall)
	for n := range pieces {
		piece.Number = n
		req.pieces = append(req.pieces, piece)
	}
	return req
}

// runStage has the pieces of a stage made and waits for their results.
func (j *job) runStage(ctx context.Context, stage int, req batchRequest) stageResult {
	startedAt := j.relay.now()
	result := j.relay.runGroup(ctx, req)
	result.stage = stage
	result.timing.Stage = stage
	result.timing.Pool = req.pool
	result.timing.Elapsed = j.relay.now().Sub(startedAt)
	return result
}
