package registry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// script is a feed and a follower with prepared answers. It logs the calls of Follow.
type script struct {
	steps []func() ([]Item, int64, error)
	// cutOff is the greatest number of items in an answer; 0 for no limit.
	cutOff int
	log    []string
	cancel context.CancelFunc
}

func (s *script) next(what string) ([]Item, int64, error) {
	s.log = append(s.log, what)
	if len(s.steps) == 0 {
		s.cancel()
		return nil, 0, ErrUnavailable
	}
	f := s.steps[0]
	s.steps = s.steps[1:]
	return f()
}

func (s *script) Read(context.Context) ([]Item, int64, error) { return s.next("read") }

func (s *script) Watch(_ context.Context, after int64, _ time.Duration) (Changes, error) {
	items, at, err := s.next(fmt.Sprintf("watch %d", after))
	return Changes{Items: items, Revision: at, More: s.cutOff > 0 && len(items) >= s.cutOff}, err
}

func (s *script) WaitUntilDue(_ context.Context, revision int64) int64 { return revision }
func (s *script) HandleSnapshot(items []Item, _ int64) {
	s.log = append(s.log, fmt.Sprintf("snapshot of %d", len(items)))
}
func (s *script) HandleChanges(c Changes) {
	s.log = append(s.log, fmt.Sprintf("changed %d", len(c.Items)))
}
func (s *script) HandleError(error) { s.log = append(s.log, "failed") }

func answer(n int, revision int64, err error) func() ([]Item, int64, error) {
	return func() ([]Item, int64, error) { return make([]Item, n), revision, err }
}

// The store drops its history. No watch reports the changes meanwhile, so Follow must read all entries
// again. After a failed watch it must continue from the same revision.
func TestFollow(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &script{cancel: cancel, steps: []func() ([]Item, int64, error){
		answer(0, 0, ErrUnavailable),
		answer(3, 10, nil),
		answer(1, 12, nil),
		answer(0, 0, ErrUnavailable),
		answer(0, 0, ErrCompacted),
		answer(2, 40, nil),
		answer(0, 40, nil),
	}}
	Follow(ctx, s, FollowConfig{RetryDelay: time.Millisecond}, s)
	assert.Equal(t, strings.Join(s.log, ", "),
		"read, failed, read, snapshot of 3, watch 10, changed 1, watch 12, failed, watch 12, read, snapshot of 2, watch 40, changed 0, watch 40")
}

// Workers renew their entries faster than one answer per interval can report. The store truncates the
// answers, and Follow must read the rest without a pause. With a pause, each answer would report a leaving
// worker later than the last one, and the tasks assigned to the worker would be lost with it.
func TestTruncatedWatchContinuesWithoutPause(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &script{cancel: cancel, cutOff: 500, steps: []func() ([]Item, int64, error){
		answer(3, 10, nil), answer(500, 510, nil), answer(500, 1010, nil), answer(200, 1210, nil),
	}}
	began := time.Now()
	const interval = 100 * time.Millisecond
	Follow(ctx, s, FollowConfig{MinInterval: interval, RetryDelay: time.Millisecond}, s)
	assert.Equal(t, strings.Join(s.log, ", "),
		"read, snapshot of 3, watch 10, changed 500, watch 510, changed 500, watch 1010, changed 200, watch 1210")
	took := time.Since(began)
	assert.Assert(t, took < 3*interval, "took %s, expected two pauses of one interval", took)
}
