package leaving_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
)

// A leaving node accepts a request only if it is sure to end before the node stops: by what was seen of its route, or by its
// deadline. Guards against requests that are accepted and cut off because they take longer than the node took for granted.
func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	const (
		unary  = false
		stream = true
	)
	seen := func(whole, sinceSent time.Duration) leaving.Seen {
		return leaving.Seen{Known: true, Longest: leaving.Duration{Whole: whole, SinceSent: sinceSent}}
	}
	short, long, none := seen(30*time.Millisecond, 20*time.Millisecond), seen(3500*time.Millisecond, 3*time.Second), leaving.Seen{}
	for name, tc := range map[string]struct {
		stream   bool
		deadline time.Duration
		seen     leaving.Seen
		stage    leaving.Stage
		left     time.Duration
		accepted bool
	}{
		"unary, ends by its deadline":                    {unary, 1500 * time.Millisecond, none, leaving.AtReceipt, 2 * time.Second, true},
		"unary, deadline after the stop":                 {unary, 1500 * time.Millisecond, none, leaving.AtReceipt, time.Second, false},
		"unary, nothing seen, long timeout":              {unary, 9 * time.Second, none, leaving.AtReceipt, 7 * time.Second, false},
		"unary, short ones seen, long timeout":           {unary, 9 * time.Second, short, leaving.AtReceipt, 2 * time.Second, true},
		"unary, short ones seen, close to the stop":      {unary, 9 * time.Second, short, leaving.AtReceipt, 1900 * time.Millisecond, false},
		"unary, long ones seen, enough time":             {unary, 9 * time.Second, long, leaving.AtReceipt, 7 * time.Second, true},
		"unary, long ones seen, too little time":         {unary, 9 * time.Second, long, leaving.AtReceipt, 6900 * time.Millisecond, false},
		"unary, long ones seen, ends by its deadline":    {unary, 6 * time.Second, long, leaving.AtReceipt, 6 * time.Second, true},
		"stream, nothing seen, deadline after the stop":  {stream, 20 * time.Second, none, leaving.AtReceipt, 12 * time.Second, false},
		"stream, short ones seen":                        {stream, 20 * time.Second, short, leaving.AtReceipt, 5 * time.Second, true},
		"stream, short ones seen, close to the stop":     {stream, 20 * time.Second, short, leaving.AtReceipt, 4 * time.Second, false},
		"stream, long ones seen, too little time":        {stream, 20 * time.Second, long, leaving.AtReceipt, 6 * time.Second, false},
		"about to be sent, short ones seen":              {unary, 9 * time.Second, short, leaving.AtSend, time.Second, true},
		"about to be sent, short ones seen, at the stop": {unary, 9 * time.Second, short, leaving.AtSend, 990 * time.Millisecond, false},
		"about to be sent, ends by its deadline":         {unary, 40 * time.Millisecond, short, leaving.AtSend, 40 * time.Millisecond, true},
		"stream about to be sent, short ones seen":       {stream, 9 * time.Second, short, leaving.AtSend, 2500 * time.Millisecond, true},
		"stream about to be sent, close to the stop":     {stream, 9 * time.Second, short, leaving.AtSend, 2400 * time.Millisecond, false},
		"about to be sent, long ones seen":               {unary, 9 * time.Second, long, leaving.AtSend, 5 * time.Second, false},
		"about to be sent, nothing seen":                 {unary, 9 * time.Second, none, leaving.AtSend, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			refusal := leaving.Admit(now, now.Add(tc.left), leaving.Request{Stream: tc.stream, Deadline: now.Add(tc.deadline), Stage: tc.stage, Seen: tc.seen})
			must.Eq(t, tc.accepted, refusal == nil)
			if refusal != nil {
				must.Eq(t, model.NotRun, refusal.Verdict)
				must.Positive(t, refusal.RetryAfter)
			}
		})
	}
}
