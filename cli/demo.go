package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/node"
	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/standin"
)

const demoTimeout = 10 * time.Second

func (p *program) demoCommand() *ff.Command {
	fs := ff.NewFlagSet("demo")
	return &ff.Command{
		Name:      "demo",
		Usage:     "basilstall demo",
		ShortHelp: "run three nodes and stand-ins in one process, send a few requests, show the answers",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			if err := p.demo(ctx); err != nil {
				return exitWith(ExitFailed, err)
			}
			return nil
		},
	}
}

func (p *program) demo(ctx context.Context) error {
	c := sample.Bilbao()
	standIn, err := standin.NewStandin(c)
	if err != nil {
		return err
	}
	defer standIn.Close()
	fmt.Fprintf(p.stdout, "stand-in: platform on %s, %d endpoints\n", standIn.Address(), len(standIn.Endpoints()))
	nodes, err := p.startDemoNodes(standIn.Address())
	for _, n := range nodes {
		defer n.Close()
	}
	if err != nil {
		return err
	}
	if err := awaitReady(ctx, nodes); err != nil {
		return err
	}
	return p.sendDemoRequests(ctx, nodes, standIn)
}

func (p *program) startDemoNodes(platformAddress string) ([]*node.Node, error) {
	var nodes []*node.Node
	for i, domain := range sample.BilbaoDomains {
		options := config.NewOptions()
		options.Name = fmt.Sprintf("entry-%d", i+1)
		options.FailureDomain = domain
		options.Platform = platformAddress
		options.OperatorsToken = "demo-operator"
		options.PeersToken = "demo-peers"
		options.LogLevel = "warn"
		n, err := node.NewNode(*options, p.logger(options.LogLevel))
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
		fmt.Fprintf(p.stdout, "node %s in %s: callers %s, operators %s\n", options.Name, domain, n.CallersAddress(), n.OperatorsAddress())
	}
	return nodes, nil
}

// awaitReady waits until all nodes are ready and know an era (see kernel.Era), so that idempotency keys have owners.
func awaitReady(ctx context.Context, nodes []*node.Node) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for {
		ready := 0
		for _, n := range nodes {
			s := n.Status()
			if s.Ready && len(s.EraMembers) > 0 {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the nodes did not become ready")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (p *program) sendDemoRequests(ctx context.Context, nodes []*node.Node, standIn *standin.Standin) error {
	client := func(i int) *caller.Client {
		return &caller.Client{
			BaseURL: "http://" + nodes[i].CallersAddress(),
			Token:   sample.BilbaoToken,
			HTTP:    &http.Client{Timeout: demoTimeout},
		}
	}
	renewal := caller.Call{
		Pipeline: "renewal",
		Body:     caller.RequestBody{Input: model.Input{Text: "renew the agreement of Bar Arriaga", MaxTokens: 12}, Stream: true},
		OnToken:  func(t caller.TokenBody) { fmt.Fprint(p.stdout, t.Text) },
	}
	fmt.Fprintln(p.stdout, "\nencode, retrieve, rerank, generate under one deadline, streamed:")
	if err := p.sendDemoRequest(ctx, client(0), renewal); err != nil {
		return err
	}
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	ticket := caller.Call{Pipeline: "collection-ticket", Key: key.String(), Body: caller.RequestBody{Input: model.Input{Text: "collect at Bar Arriaga"}}}
	for i := range nodes {
		fmt.Fprintf(p.stdout, "\ncollection ticket with one key, through node %d:\n", i+1)
		if err := p.sendDemoRequest(ctx, client(i), ticket); err != nil {
			return err
		}
	}
	fmt.Fprintf(p.stdout, "\nthe service ran the ticket %d time(s)\n", standIn.Journal.Summary().Keys[sample.BilbaoCustomer+"/"+key.String()])
	late := renewal
	late.Body.Timeout = "1ms"
	late.Body.Stream = false
	fmt.Fprintln(p.stdout, "\na deadline that cannot be met is refused at once:")
	result, err := client(1).Send(ctx, late)
	if err != nil {
		return err
	}
	if result.Refusal == nil {
		return errors.New("the request was not refused")
	}
	fmt.Fprintf(p.stdout, "%s, %s, come back in %d ms\n", result.Refusal.Reason, result.Refusal.Verdict, result.Refusal.RetryAfterMilliseconds)
	fmt.Fprintln(p.stdout, "\nnext: docs/operating.md to run it as separate processes, `basilstall replay` to measure it")
	return nil
}

func (p *program) sendDemoRequest(ctx context.Context, client *caller.Client, call caller.Call) error {
	result, err := client.Send(ctx, call)
	if err != nil {
		return err
	}
	return p.printResult(result, call, false)
}
