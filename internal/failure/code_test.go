package failure

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

const pageFile = "../../docs/ERRORS.md"

// declaredCodes reads the constants of type Code from the source, so that a code cannot be left out of a list.
func declaredCodes(t *testing.T) map[Code]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	assert.NilError(t, err)
	codes := map[Code]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || len(spec.Values) != 1 {
			return true
		}
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		if isLiteral && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			assert.NilError(t, err)
			assert.Assert(t, !codes[Code(text)], "two codes are %q", text)
			codes[Code(text)] = true
		}
		return true
	})
	return codes
}

var pageRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| .+ \\| .+ \\|$")

func TestPageOfErrorsListsEveryCodeWithItsStatus(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	declared := declaredCodes(t)
	assert.Assert(t, len(declared) > 0)
	described := map[Code]bool{}
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		code := Code(row[1])
		assert.Assert(t, declared[code], "%s is on the page but not in the code", code)
		assert.Assert(t, !described[code], "%s stands on the page twice", code)
		assert.Equal(t, row[2], fmt.Sprint(code.Status()), "the status of %s", code)
		described[code] = true
	}
	for code := range declared {
		assert.Assert(t, described[code], "%s is not on the page", code)
		_, known := statusOfCode[code]
		assert.Assert(t, known, "%s has no status", code)
	}
}
