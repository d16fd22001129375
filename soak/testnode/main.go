// Command testnode runs a node of the soak. Unlike `basilstall edge`, it reaches endpoints through links, which the soak
// cuts for each failure domain, and asks the soak for the address of each.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/platform"
)

// linksVariable is the environment variable with the URL at which the soak answers with the address of the link of a failure
// domain to an endpoint's address.
const linksVariable = "SOAK_LINKS"

func main() {
	if err := run(os.Getenv(platform.SettingsVariable), os.Getenv(linksVariable)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path, links string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldUnit = time.Millisecond
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	settings.DialEndpoint = func(ctx context.Context, network, address string) (net.Conn, error) {
		linked, err := linkTo(ctx, links, settings.FailureDomain, address)
		if err != nil {
			return nil, err
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, linked)
	}
	p, err := platform.NewProcess(settings, zerolog.New(os.Stdout).With().Timestamp().Logger())
	if err != nil {
		return err
	}
	defer p.Close()
	for s := range signals {
		if s != syscall.SIGHUP {
			p.Leave()
			return nil
		}
		p.Reload(path)
	}
	return nil
}

// linkTo returns the address of the link of a failure domain to an endpoint's address.
func linkTo(ctx context.Context, links, domain, address string) (string, error) {
	query := url.Values{"domain": {domain}, "address": {address}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, links+"?"+query.Encode(), nil)
	if err != nil {
		return "", err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	linked, err := io.ReadAll(res.Body)
	return string(linked), err
}
