// Command basilstall serves multi-stage model pipelines.
package main

import (
	"os"

	"basilstall.example/basilstall/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
