package clock

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, Sleep(ctx, time.Millisecond))
	assert.Assert(t, Sleep(ctx, -time.Second))
	cancel()
	assert.Assert(t, !Sleep(ctx, time.Hour))
	assert.Assert(t, !Sleep(ctx, 0))
}
