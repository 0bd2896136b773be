package forward

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPromptPartsKeepTheirOrder(t *testing.T) {
	assert.DeepEqual(t, parsePromptParts("5C1e07a2:800, 91bd3f06:410,:3,,e4402b7d"), []string{"5c1e07a2", "91bd3f06", "e4402b7d"})
	assert.Equal(t, len(parsePromptParts("")), 0)
}

func TestPromptPartsAreBounded(t *testing.T) {
	got := parsePromptParts(strings.Repeat(strings.Repeat("a", 200)+":1,", 500))
	assert.Equal(t, len(got), maxPromptParts)
	assert.Equal(t, len(got[0]), maxPartIDBytes)
}
