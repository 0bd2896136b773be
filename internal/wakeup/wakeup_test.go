package wakeup

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFlagIsReceivedOnce(t *testing.T) {
	f := New()
	f.Set()
	f.Set()
	<-f.C()
	select {
	case <-f.C():
		t.Fatal("received twice")
	default:
	}
	f.Set()
	assert.Equal(t, len(f.C()), 1)
}
