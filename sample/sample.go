// Package sample provides small configurations of two deployments, Bilbao and Moravia, with pools, customers and
// pipelines. The demo, tests and replays use them.
package sample

import (
	_ "embed"
	"time"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

const (
	// BilbaoToken is the token of the first customer of team bilbao.
	BilbaoToken = "token-bar-arriaga"
	// BilbaoCustomer is the account (TEAM/CUSTOMER) of the same customer.
	BilbaoCustomer = "bilbao/bar-arriaga"
	// MoraviaToken is the token of the first customer of team moravia.
	MoraviaToken = "token-kiosk-brno"
)

var (
	// BilbaoDomains are the failure domains of Bilbao.
	BilbaoDomains = []string{"zorrotza", "basauri", "erandio"}
	// MoraviaDomains are the failure domains of Moravia.
	MoraviaDomains = []string{"brno-hall", "olomouc-hall", "zlin-hall"}

	//go:embed bilbao.yaml
	bilbaoYAML string
	//go:embed moravia.yaml
	moraviaYAML string
	//go:embed fleet.yaml
	fleetYAML string
)

// Bilbao returns the stand-in configuration for a co-operative with few large customers and long generated agreements.
func Bilbao() standin.Config {
	return config("bilbao", bilbaoYAML, BilbaoDomains, []string{"lorry-scheduling", "billing", "portal", "depot-tablets"})
}

// Moravia returns the stand-in configuration for a distribution agency with many small confirmations.
func Moravia() standin.Config {
	return config("moravia", moraviaYAML, MoraviaDomains, []string{"depot-stock", "invoicing", "handheld", "route-planning"})
}

// BilbaoSnapshot returns the settings of Bilbao as read from the table.
func BilbaoSnapshot() model.Snapshot {
	return snapshot("bilbao", bilbaoYAML)
}

// MoraviaSnapshot returns the settings of Moravia as read from the table.
func MoraviaSnapshot() model.Snapshot {
	return snapshot("moravia", moraviaYAML)
}

func snapshot(team, settings string) model.Snapshot {
	return model.Snapshot{Revision: 2, Documents: []model.Document{
		{Path: "fleet", Revision: 1, YAML: fleetYAML},
		{Path: "teams/" + team, Revision: 2, YAML: settings},
	}}
}

func config(team, settings string, domains, services []string) standin.Config {
	c := standin.Config{
		Platform:   "127.0.0.1:0",
		TableDelay: 5 * time.Millisecond,
		Settings: []standin.SettingsFile{
			{Path: "fleet", YAML: fleetYAML},
			{Path: "teams/" + team, YAML: settings},
		},
		Pools: []standin.PoolConfig{
			{Name: "encoders", Kind: model.Encode, Endpoints: 3, Slots: 4, ServiceTime: 12 * time.Millisecond},
			{Name: "retrievers", Kind: model.Retrieve, Endpoints: 3, Slots: 8, ServiceTime: 6 * time.Millisecond},
			{Name: "rerankers", Kind: model.Rerank, Endpoints: 3, Slots: 4, ServiceTime: 8 * time.Millisecond},
			{Name: "runners", Kind: model.Generate, Endpoints: 12, Slots: 4, ServiceTime: 15 * time.Millisecond, PromptTime: 25 * time.Millisecond, TokenTime: 5 * time.Millisecond},
		},
	}
	for _, name := range services {
		c.Pools = append(c.Pools, standin.PoolConfig{Name: name, Kind: model.Call, Endpoints: 3, Slots: 8, ServiceTime: 5 * time.Millisecond})
	}
	for i := range c.Pools {
		c.Pools[i].FailureDomains = domains
	}
	return c
}
