package ending_test

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
)

// Guards against an answer that is taken for whole on any other evidence than its sender's statement.
func TestJudgeRead(t *testing.T) {
	unstated := fmt.Errorf("read: %w", ending.ErrUnstated)
	for _, tc := range []struct {
		err         error
		withinEvent bool
		want        ending.Judgement
	}{
		{io.EOF, false, ending.Judgement{End: ending.Stated, Evidence: ending.Framed}},
		{io.EOF, true, ending.Judgement{End: ending.BrokenOff, Evidence: ending.WithinEvent}},
		{unstated, false, ending.Judgement{End: ending.Unstated}},
		{unstated, true, ending.Judgement{End: ending.BrokenOff, Evidence: ending.WithinEvent}},
		{io.ErrUnexpectedEOF, false, ending.Judgement{End: ending.BrokenOff, Evidence: ending.ReadFailed}},
		{errors.New("reset"), true, ending.Judgement{End: ending.BrokenOff, Evidence: ending.ReadFailed}},
	} {
		must.Eq(t, tc.want, ending.JudgeRead(tc.err, tc.withinEvent))
	}
}

// Guards against what is seen of an endpoint being taken for a statement that its answer is whole.
func TestJudgeEndpoint(t *testing.T) {
	for _, tc := range []struct {
		endpoint ending.Endpoint
		want     ending.Judgement
	}{
		{ending.Endpoint{}, ending.Judgement{End: ending.Unstated, Evidence: ending.StillListens}},
		{ending.Endpoint{NothingListens: true}, ending.Judgement{End: ending.BrokenOff, Evidence: ending.NothingListens}},
		{ending.Endpoint{Announced: true}, ending.Judgement{End: ending.Unstated, Evidence: ending.Announced}},
		{ending.Endpoint{Announced: true, NothingListens: true}, ending.Judgement{End: ending.Unstated, Evidence: ending.Announced}},
		{ending.Endpoint{StartedAgain: true}, ending.Judgement{End: ending.BrokenOff, Evidence: ending.StartedAgain}},
		{ending.Endpoint{StartedAgain: true, Announced: true}, ending.Judgement{End: ending.BrokenOff, Evidence: ending.StartedAgain}},
	} {
		must.Eq(t, tc.want, ending.JudgeEndpoint(tc.endpoint))
	}
}

// Guards against an answer that is not whole and ends at its caller as a whole one does.
func TestConclude(t *testing.T) {
	for _, tc := range []struct {
		framing ending.Framing
		end     ending.End
		want    ending.Conclusion
	}{
		{ending.Length, ending.Stated, ending.Finish},
		{ending.Length, ending.Unstated, ending.Abort},
		{ending.Length, ending.BrokenOff, ending.Abort},
		{ending.Chunks, ending.Stated, ending.Finish},
		{ending.Chunks, ending.Unstated, ending.Abort},
		{ending.Chunks, ending.BrokenOff, ending.Abort},
		{ending.Connection, ending.Stated, ending.Finish},
		{ending.Connection, ending.Unstated, ending.Finish},
		{ending.Connection, ending.BrokenOff, ending.Reset},
		{"", ending.BrokenOff, ending.Reset},
	} {
		must.EqOp(t, tc.want, ending.Conclude(tc.framing, tc.end), must.Sprint(tc))
	}
}

// Guards against an answer without a stated end that is passed on with one.
func TestFramingOfAnswersPassedOn(t *testing.T) {
	must.EqOp(t, ending.Chunks, ending.FramingOf(-1, true))
	must.EqOp(t, ending.Length, ending.FramingOf(0, false))
	must.EqOp(t, ending.Connection, ending.FramingOf(-1, false))
	must.EqOp(t, ending.Chunks, ending.Length.ForStream())
	must.EqOp(t, ending.Chunks, ending.Chunks.ForStream())
	must.EqOp(t, ending.Connection, ending.Connection.ForStream())
	must.EqOp(t, ending.Connection, ending.Framing("").ForStream())
	must.EqOp(t, ending.Length, ending.Stated.ForWhole())
	must.EqOp(t, ending.Connection, ending.Unstated.ForWhole())
}
