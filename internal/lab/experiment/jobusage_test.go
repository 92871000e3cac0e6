package experiment

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"
)

func TestCountersAreSummedByLabel(t *testing.T) {
	text := "# TYPE sent counter\nsent{side=\"server\",service=\"a\"} 3\nsent{side=\"client\",service=\"a\"} 5\nsent{side=\"server\",service=\"b\"} 7\n"
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, total(families, "sent", nil), 15.0)
	assert.Equal(t, total(families, "sent", map[string]string{"side": "server"}), 10.0)
	assert.Equal(t, total(families, "sent", map[string]string{"side": "server", "service": "b"}), 7.0)
	assert.Equal(t, total(families, "received", nil), 0.0)
	_, err = diskWrites(os.Getpid())
	assert.NilError(t, err)
}

func TestInputLinesHaveTheirSize(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, writeLines(&out, "tenant", 3))
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Equal(t, len(lines[2])+1, lineBytes)
}
