package held_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/held"
)

// Guards against an endpoint that gets request after request while it reads none, and against refusing requests to a sound
// endpoint, which has read the earlier ones or is reading them at once.
func TestRequestsToEndpointAreBoundedWhileItDoesNotRead(t *testing.T) {
	limits := held.UnreadLimits{Slow: 100, Any: 400, ReadTime: time.Second}
	for name, tc := range map[string]struct {
		age    time.Duration
		unread []int64
		n      int64
		want   bool
	}{
		"nothing under way":           {0, nil, 1000, true},
		"all read":                    {time.Hour, []int64{0, 0}, 1000, true},
		"many at once":                {999 * time.Millisecond, []int64{100, 150}, 150, true},
		"too many at once":            {999 * time.Millisecond, []int64{100, 150}, 151, false},
		"slow, within the bound":      {time.Second, []int64{90, 0}, 10, true},
		"slow, above the bound":       {time.Second, []int64{90, 0}, 11, false},
		"slow with a large one alone": {time.Second, []int64{1000}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := held.NewUnread(limits)
			var ids []held.ID
			for _, unread := range tc.unread {
				id := u.Begin(start, "a", 1000)
				u.Observe("a", id, unread)
				u.Observe("a", id, 2000)
				ids = append(ids, id)
			}
			other := u.Begin(start, "b", 1000)
			must.EqOp(t, tc.want, u.Admits(start.Add(tc.age), "a", tc.n))
			for _, id := range ids {
				u.End("a", id)
			}
			must.EqOp(t, 1000, u.Bytes())
			must.True(t, u.Admits(start.Add(tc.age), "a", 1000))
			u.End("b", other)
			must.EqOp(t, 0, u.Bytes())
		})
	}
}
