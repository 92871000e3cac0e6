package membership

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func TestZoneIsReportedCutOffOnlyOnceItWasKnown(t *testing.T) {
	var log bytes.Buffer
	logger := zerolog.New(&log)
	alone := &View{Zone: "here"}
	unreachable := &View{Zone: "here", Members: []Member{{Node: "far", Zone: "there"}}, CutOff: []ident.Zone{"there"}}
	logChanges(logger, alone, unreachable)
	assert.Equal(t, log.String(), "")

	reached := &View{Zone: "here", Members: unreachable.Members}
	logChanges(logger, reached, unreachable)
	assert.Assert(t, strings.Contains(log.String(), "zone_cut_off"), log.String())
}
