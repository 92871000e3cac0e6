package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// counted are the folders of what runs on a platform's machines. The rest of the product still goes by the steady clock.
var counted = []string{
	"../../cmd/mallowlatch-site", "../../platform", "../access", "../batchcapacity", "../changefeed", "../connpool", "../demand", "../poisonwatch", "../eventstream", "../fairshare", "../memorybudget", "../orphans", "../zonebalance",
	"../fleetfeed", "../follower", "../handoff", "../jobentry", "../jobpeer", "../jobrecord", "../jobworker", "../lending", "../online", "../pace",
	"../poison", "../progress", "../quota", "../reachability", "../refusal", "../routetable", "../runnertable", "../sharedread", "../site", "../storemeter", "../waitqueue", "../work",
}

// TestOnlyThisPackageReadsTheSystemsClock looks through the sources: an age by another clock is too young after a sleep. Tests and
// stand-ins may read what they like.
func TestOnlyThisPackageReadsTheSystemsClock(t *testing.T) {
	files := 0
	for _, folder := range counted {
		assert.NilError(t, filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				if entry != nil && entry.IsDir() && entry.Name() == "platformtest" {
					return filepath.SkipDir
				}
				return err
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			files++
			checkFile(t, path)
			return nil
		}))
	}
	assert.Assert(t, files > 90, "%d files", files)
}

// checkFile reports each reading of the system's clock in a file.
func checkFile(t *testing.T, path string) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, 0)
	assert.NilError(t, err)
	ast.Inspect(file, func(node ast.Node) bool {
		selector, isSelector := node.(*ast.SelectorExpr)
		if !isSelector {
			return true
		}
		from, isName := selector.X.(*ast.Ident)
		if !isName {
			return true
		}
		switch from.Name + "." + selector.Sel.Name {
		case "time.Now", "time.Since", "time.Until", "context.WithDeadline":
			t.Errorf("%s reads the system's clock: use package clock", set.Position(node.Pos()))
		}
		return true
	})
}
