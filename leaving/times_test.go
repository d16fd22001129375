package leaving_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/leaving"
)

var answeredRequest = leaving.End{Answered: true, Sent: true}

// serveRequests records requests that are sent after a tenth of their time.
func serveRequests(times *leaving.Times, now time.Time, count int, took time.Duration, end leaving.End) {
	for range count {
		n := times.Begin(now, now, "r")
		times.RecordSent(now.Add(took/10), "r", n)
		times.End(now.Add(took), "r", n, end)
	}
}

// The times of a route are known once some requests were answered; failures and refusals prove nothing.
func TestRequestTimesAreKnownByAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	times := leaving.NewTimes()
	must.False(t, times.Seen(now, "r").Known)
	serveRequests(times, now, 4, time.Second, answeredRequest)
	serveRequests(times, now, 10, 2*time.Second, leaving.End{Sent: true})
	serveRequests(times, now, 10, 9*time.Second, leaving.End{})
	must.False(t, times.Seen(now, "r").Known)
	serveRequests(times, now, 1, time.Second, answeredRequest)
	must.Eq(t, leaving.Seen{Known: true, Longest: leaving.Duration{Whole: 2 * time.Second, SinceSent: 1800 * time.Millisecond}}, times.Seen(now, "r"))
	must.False(t, times.Seen(now, "other").Known)
}

// A request that is being served counts with its age: those before it may all have been shorter.
func TestRunningRequestCountsWithItsAge(t *testing.T) {
	now := time.Unix(1000, 0)
	times := leaving.NewTimes()
	serveRequests(times, now, 9, 30*time.Millisecond, answeredRequest)
	n := times.Begin(now, now, "r")
	times.RecordSent(now.Add(time.Second), "r", n)
	now = now.Add(4 * time.Second)
	must.Eq(t, leaving.Duration{Whole: 4 * time.Second, SinceSent: 3 * time.Second}, times.Seen(now, "r").Longest)
	times.End(now, "r", n, leaving.End{})
	must.Eq(t, 30*time.Millisecond, times.Seen(now, "r").Longest.Whole)
}

// Requests that ended more than three windows ago no longer count, and their route is removed.
func TestRequestTimesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	times := leaving.NewTimes()
	serveRequests(times, now, 9, 5*time.Second, answeredRequest)
	must.Eq(t, 5*time.Second, times.Seen(now.Add(10*time.Minute), "r").Longest.Whole)
	now = now.Add(16 * time.Minute)
	must.Eq(t, leaving.Seen{}, times.Seen(now, "r"))
	times.Expire(now)
	n := times.Begin(now, now, "r")
	must.EqOp(t, 10, n)
	must.Eq(t, leaving.Seen{}, times.Seen(now, "r"))
}
