package follow_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/follow"
)

// Other nodes fill the outbox, so its size is bounded; what it gives out fits one write of the store.
func TestOutboxIsBounded(t *testing.T) {
	o := follow.NewOutbox()
	o.Add(map[string][]byte{"too-large": make([]byte, 64<<10)})
	must.MapEmpty(t, o.Take())
	for i := range 10_000 {
		o.Add(map[string][]byte{fmt.Sprint("node-", i): []byte("row")})
	}
	taken := map[string][]byte{}
	for {
		rows := o.Take()
		if rows == nil {
			break
		}
		must.LessEq(t, follow.MaxWrittenRows, len(rows))
		for key, value := range rows {
			must.MapNotContainsKey(t, taken, key)
			taken[key] = value
		}
	}
	must.LessEq(t, 4096, len(taken))
	must.GreaterEq(t, 4000, len(taken))
}

// A row that waits is replaced by a newer one, also where there is room for no further node.
func TestOutboxKeepsNewestRow(t *testing.T) {
	o := follow.NewOutbox()
	for i := range 5_000 {
		o.Add(map[string][]byte{fmt.Sprint("node-", i): []byte("old")})
	}
	o.Add(map[string][]byte{"node-7": []byte("new")})
	found := ""
	for rows := o.Take(); rows != nil; rows = o.Take() {
		if value, ok := rows["node-7"]; ok {
			found = string(value)
		}
	}
	must.EqOp(t, "new", found)
}
