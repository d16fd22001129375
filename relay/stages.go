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
		// inputs are what the engine needs; domain is where most of them lie, or where the
		// prompt's prefix is cached.
		inputs []string
		domain string

		mu sync.Mutex
		// held lists, by stage, the results that are still held.
		held     map[int][]kernel.MadePiece
		pools    []string
		released bool
	}

	// stageDone is how one stage ended.
	stageDone struct {
		stage   int
		made    []kernel.MadePiece
		refusal *model.Refusal
		time    StageTime
	}
)

// runStages carries out all stages of a request. A stage starts when all that it follows are
// done; the first failure ends them all. The results must be released.
func (j *job) runStages(ctx context.Context, p *pool) (*stageRun, *model.Refusal) {
	r := j.relay
	stages := j.admission.Route.Stages
	home := kernel.HomeDomain(kernel.AffinityKey(j.forward.Prompt), r.Roster().Endpoints(kernel.HomePool(j.admission)))
	run := &stageRun{relay: r, domain: home, held: map[int][]kernel.MadePiece{}}
	for _, s := range stages {
		run.pools = append(run.pools, s.Pool)
	}
	outlook := r.hub.outlook(run.pools)
	run.plan = kernel.PlanStages(r.now(), j.forward, j.admission, outlook, p.expectFirstEvent())
	if len(run.plan.Last) == 0 {
		return run, nil
	}
	if refusal := kernel.AdmitStages(r.now(), j.forward, j.admission, run.plan, outlook); refusal != nil {
		return run, refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan stageDone, len(stages))
	results := make(map[int][]kernel.MadePiece, len(stages))
	started := make([]bool, len(stages))
	running := 0
	for {
		for i := range stages {
			if started[i] || !ready(stages[i], results) {
				continue
			}
			started[i] = true
			if kernel.PiecesOf(j.forward, i) == 0 {
				results[i] = nil
				continue
			}
			running++
			group := j.group(run, i, results)
			go func() { done <- j.runStage(ctx, i, group) }()
		}
		if running == 0 {
			break
		}
		d := <-done
		running--
		j.stages = append(j.stages, d.time)
		run.hold(d.stage, d.made)
		if d.refusal != nil {
			cancel()
			go run.drainAfter(done, running)
			return run, d.refusal
		}
		results[d.stage] = d.made
		run.releaseConsumed(stages, results)
	}
	var last []kernel.MadePiece
	for _, i := range run.plan.Last {
		last = append(last, results[i]...)
	}
	for _, m := range last {
		run.inputs = append(run.inputs, m.Handle)
	}
	if domain := kernel.DomainOf(last); domain != "" {
		run.domain = domain
	}
	return run, nil
}

// ready tells whether all stages that one follows are done.
func ready(s model.StageNode, results map[int][]kernel.MadePiece) bool {
	for _, before := range s.After {
		if _, ok := results[before]; !ok {
			return false
		}
	}
	return true
}

// group prepares the pieces of a stage.
func (j *job) group(run *stageRun, stage int, results map[int][]kernel.MadePiece) gatherRequest {
	node := j.admission.Route.Stages[stage]
	g := gatherRequest{
		pool:   node.Pool,
		domain: run.domain,
		bytes:  node.ResultBytes,
		due:    run.plan.Due[stage],
		until:  run.plan.Until[stage],
		rank:   j.admission.Rank,
	}
	var inputBytes int64
	piece := model.Piece{Request: j.forward.ID, Stage: stage, Deadline: run.plan.Until[stage]}
	if len(node.After) == 0 {
		piece.Key = j.forward.PieceKey
	}
	var inputs []kernel.MadePiece
	for _, before := range node.After {
		inputs = append(inputs, results[before]...)
		inputBytes += int64(len(results[before])) * j.admission.Route.Stages[before].ResultBytes
	}
	for _, m := range inputs {
		piece.Inputs = append(piece.Inputs, m.Handle)
	}
	if domain := kernel.DomainOf(inputs); domain != "" {
		g.domain = domain
	}
	pieces := kernel.PiecesOf(j.forward, stage)
	prefix := 0
	if node.ResultBytes*int64(pieces) >= kernel.LargeResults {
		prefix = kernel.SharedTokens(j.forward.Prompt)
	}
	// Each piece fetches all inputs.
	g.patience = kernel.DomainPatience(inputBytes*int64(pieces), prefix)
	for n := range pieces {
		piece.Number = n
		g.pieces = append(g.pieces, piece)
	}
	return g
}

func (j *job) runStage(ctx context.Context, stage int, group gatherRequest) stageDone {
	began := j.relay.now()
	done := j.relay.gather(ctx, group)
	done.stage = stage
	done.time.Stage = stage
	done.time.Pool = group.pool
	done.time.Elapsed = j.relay.now().Sub(began)
	return done
}

func (s *stageRun) hold(stage int, made []kernel.MadePiece) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(made) > 0 {
		s.held[stage] = append(s.held[stage], made...)
	}
}

// releaseConsumed frees the results of stages whose followers are all done.
func (s *stageRun) releaseConsumed(stages []model.StageNode, results map[int][]kernel.MadePiece) {
	for i := range stages {
		if _, done := results[i]; !done || s.isLast(i) {
			continue
		}
		consumed := true
		for k, follower := range stages {
			for _, before := range follower.After {
				if _, done := results[k]; before == i && !done {
					consumed = false
				}
			}
		}
		if consumed {
			s.releaseStage(i)
		}
	}
}

func (s *stageRun) isLast(stage int) bool {
	for _, i := range s.plan.Last {
		if i == stage {
			return true
		}
	}
	return false
}

func (s *stageRun) releaseStage(stage int) {
	s.mu.Lock()
	made := s.held[stage]
	delete(s.held, stage)
	s.mu.Unlock()
	if len(made) > 0 {
		s.relay.release(s.pools[stage], made)
	}
}

// release frees all results that are still held; it may be called again.
func (s *stageRun) release() {
	s.mu.Lock()
	var stages []int
	for stage := range s.held {
		stages = append(stages, stage)
	}
	s.mu.Unlock()
	for _, stage := range stages {
		s.releaseStage(stage)
	}
}

// drainAfter frees what stages still make for a request that was given up.
func (s *stageRun) drainAfter(done <-chan stageDone, running int) {
	for range running {
		d := <-done
		s.hold(d.stage, d.made)
	}
	s.release()
}
